Feature: An unexpected error ends only the task in which it occurs
  One session or one connection with an error must not end the sessions of all others.

  Scenario: A session with an unexpected error
    # Guards against one message whose handling fails and takes the process down.
    Given a listener whose first session fails with an unexpected error
    When two callers connect one after the other
    Then the first session is closed
    And the second caller is answered

  Scenario: A connection can't be accepted
    # Guards against a process that ends because its file descriptors are used up.
    Given an HTTP server that can't accept its first connection
    When a request is sent to it
    Then the request is answered

  Scenario: An instance makes itself known during a broadcast
    # Guards against a process that ends when the list of instances grows meanwhile (hunt
    # of saltbush-swap-large, trouble-1 --seed 983643217775: two exits).
    Given an instance that broadcasts to two others
    When a third one makes itself known between the two datagrams
    Then the broadcast goes on to the second

  Scenario: A member connection with an unexpected error
    # Guards against an answer of one member that ends the process, and against a router
    # that waits for ever for a connection that has ended.
    Given a member connection whose codec fails with an unexpected error
    When it is opened
    Then the router is told that it could not be opened
    And the task has ended without an exception

  Scenario: A check of every task that is started
    # Guards against a task of one connection that is started without isolation, as the
    # refusal at the limit of sessions was (review/4).
    Given the sources with a task of one connection that is not isolated
    When the check of CI runs on them
    Then it names that task

  Scenario: A log line that can't be formatted
    # Guards against a process that ends because a number in a log line is infinite.
    Given the log handler of an instance
    When a line with an infinite number in place of a whole one is logged
    Then the line says that it could not be formatted
