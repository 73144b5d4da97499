Feature: Outgoing connections
  Each answer is matched to its own call.

  Scenario: A late answer on a connection reaches no other call
    # Guards against the reuse of a connection with an answer outstanding.
    Given a server on loopback that answers its first call after the deadline
    When two calls are made over one connection
    Then the first call ends without an answer and may have been sent
    And the second call gets no answer of the first
