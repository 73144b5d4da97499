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
