Feature: Statements that wait for a member
  An instance sends a member only what its slots can run soon, and refuses at once what
  would wait for too long.

  Scenario: Statements above the slots of a member wait at the instance
    # Guards against a member that refuses most of what it gets: each refused statement
    # has cost a connection and is retried.
    Given a member with 3 slots that accepts 60 connections
    When 20 workspaces send a statement each
    Then 6 of them have a connection
    And a transaction still gets a connection
    And each statement that ends lets another one start

  Scenario: A statement that can't get its turn in time is refused at once
    # Guards against callers that wait until a deadline that was certain to pass.
    Given a member with 3 slots that accepts 60 connections
    And its statements have taken 300 ms each
    When 20 workspaces send a statement each
    And 20 others send one after that
    Then some of them are refused at once, with a time after which to retry
    And those that wait are expected to get their turn in time

  Scenario: The queue of one workspace does not refuse another one's statement
    # Guards against a workspace that is crowded out by one that sends many statements.
    Given a member with 3 slots that accepts 60 connections
    And its statements have taken 300 ms each
    When one workspace sends 24 statements
    And another workspace sends one
    Then the statement of the other workspace is not refused

  Scenario: A member with more load than slots keeps running at its capacity
    # Guards against slots that are occupied by new connections and refused attempts
    # instead of statements.
    Given 4 instances in front of a member with 3 slots and a queue of 24
    When 40 workspaces send 1.6 times what it can run for 10 s
    Then at least 0.75 of its capacity was spent on answered statements
    And no caller waited longer than it may
