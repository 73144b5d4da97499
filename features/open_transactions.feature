Feature: Open transactions and changes of the configuration
  The key of a caller is checked at each statement of its transaction. Changes of the
  route apply from the next transaction on.

  Background:
    Given an instance with stand-ins for the store and the members

  Scenario: The log names the version that a statement of a transaction was checked with
    # Guards against a log that doesn't tell whether a change was known to the instance
    # when the statement ran.
    Given a caller of "primary-db" has written in a transaction
    When the log lines are collected
    And a version without a change for it is in force
    And it sends "READ kept" after the change
    Then the log line of the statement names the newest version

  Scenario Outline: A key that passed to another workspace ends the open transaction
    # Guards against statements that run for a workspace that no longer holds the
    # caller's key (UNASKED).
    Given a caller of "primary-db" has written in a transaction
    When its key passes to another workspace
    And it sends "<text>" after the change
    Then the statement is refused with ABORTED and has not run
    And the write of its transaction is not kept
    And its next transaction runs for the new workspace

    Examples:
      | text       |
      | READ kept  |
      | WRITE a 2  |
      | COMMIT     |

  Scenario Outline: A key that is withdrawn with its route ends the open transaction
    # Guards against statements with a withdrawn key while the route is gone (CONFIG).
    Given a caller of "bounded-db" has written in a transaction
    When its key and its route are removed
    And it sends "<text>" after the change
    Then the statement is refused with NOAUTH and has not run
    And the write of its transaction is not kept

    Examples:
      | text       |
      | READ kept  |
      | WRITE a 2  |
      | COMMIT     |

  Scenario Outline: An open transaction outlives <change>
    # Guards against a change that ends a transaction although its key is valid.
    Given a caller of "bounded-db" has written in a transaction
    When <change> is in force
    And it sends "WRITE a 2" after the change
    And it sends "COMMIT" after the change
    Then its transaction is kept

    Examples:
      | change                                    |
      | the removal of its route                  |
      | the removal of its route and its group    |
      | another member group of its route         |
      | a lower rate of its workspace             |
      | a lower limit of its members' connections |
      | a second key of its workspace             |
      | a region of its route and another region of its workspace |

  Scenario: An open transaction without a key outlives the end of its public route
    # Guards against a change of a route that applies before the next transaction.
    Given a caller without a key has written in a transaction on a public route
    When its route is no longer public
    And it sends "WRITE a 2" after the change
    And it sends "COMMIT" after the change
    Then its transaction is kept
    And its next transaction is refused with NOAUTH

  Scenario: A withdrawn key ends the open transaction although its route becomes public
    # Guards against statements for a workspace that no longer holds the caller's key,
    # and against a key that is called invalid where none is needed.
    Given a caller of "bounded-db" has written in a transaction
    When its key is withdrawn and its route becomes public
    And it sends "READ kept" after the change
    Then the statement is refused with ABORTED and has not run
    And the write of its transaction is not kept

  Scenario: The session goes on after a refused COMMIT
    # Guards against a caller that has to end a transaction a second time.
    Given a caller of "primary-db" has written in a transaction
    When its key passes to another workspace
    And it sends "COMMIT" after the change
    Then the statement is refused with ABORTED and has not run
    And the session is ready for its next transaction

  Scenario: An idle transaction is rolled back by the limit in force
    # Guards against a transaction that is rolled back by a limit that a later version
    # has raised.
    Given a version with a limit of 1 s for idle transactions is in force
    And a caller of "primary-db" has written in a transaction
    When a version with a limit of 20 s for idle transactions is in force
    And its transaction is idle for 1.5 s
    And it sends "COMMIT" after the change
    Then its transaction is kept

  Scenario: A transaction whose key passes to another workspace while it is idle
    # Guards against a transaction that stays open for a workspace without a caller.
    Given a version with a limit of 1 s for idle transactions is in force
    And a caller of "primary-db" has written in a transaction
    When its key passes to another workspace
    And its transaction is idle for 1.5 s
    Then the member has rolled the transaction back
    When it sends "COMMIT" after the change
    Then the statement is refused with ABORTED and has not run
    And the write of its transaction is not kept

  Scenario Outline: A key that is lost while the first statement of a transaction waits
    # Guards against a second statement that runs because the first one did. The first
    # one was sent before the change, and may wait for less than the bound of a change.
    Given a caller has begun a transaction whose first statement waits for a connection
    When <change>
    And a connection is free
    Then the statement that waited has run
    When it sends "COMMIT" after the change
    Then the statement is refused with <code> and has not run

    Examples:
      | change                              | code    |
      | its key passes to another workspace | ABORTED |
      | its key and its route are removed   | NOAUTH  |
