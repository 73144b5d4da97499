Feature: Log lines about sessions that end
  An engineer learns from the log why a connection ended without an answer.

  Background:
    Given a session whose transactions may be idle for 3 s
    And the lines about ended sessions are collected

  Scenario: A statement that meets the close of an idle session
    # Guards against a request without an answer of which no log has a trace.
    When its instance stops, and the statement "q7" arrives after the idle close
    Then a line says "session: ended reason='idle at a stop' database=d error=none id=none in_transaction=False"
    And a line says "dropped_bytes=17 dropped_requests=1"
    And a line says "session: request dropped id=q7 database=d reason='idle at a stop'"
    And 1 request is counted as dropped by "idle at a stop"

  Scenario: The instance exits while a transaction is open
    # Guards against taking a transaction that the exit cut off for an idle session.
    When its client begins a transaction, and its instance stops until the exit
    Then a line says "session: ended reason='exit' database=d error=none id=none in_transaction=True"

  Scenario: The kernel gives a connection up
    # Guards against a connection that fails without its reason in the log.
    When its connection fails with ETIMEDOUT
    Then a line says "session: ended reason='connection failed' database=d error=ETIMEDOUT id=none"

  Scenario: An answer that can't be written
    # Guards against an answered statement whose answer is lost without a trace.
    When its connection fails with EPIPE while the answer to "q8" is written
    Then a line says "session: ended reason='connection failed' database=d error=EPIPE id=q8"

  Scenario: A key in dropped bytes
    # Guards against keys in logs.
    When its instance stops, and the message "START d hidden" arrives after the idle close
    Then a line says "session: request dropped id=malformed database=d reason='idle at a stop'"
    And no line contains "hidden"

  Scenario: An invalid message
    # Guards against decoding what follows an invalid message as requests.
    When its client sends an invalid message
    Then a line says "session: ended reason='invalid message' database=d"
    And no line contains "request dropped"

  Scenario: The client of an idle session leaves
    # Guards against a line for each of the callers' own closes.
    When its client closes the connection
    Then no line contains "session: ended"
    And the end "caller closed" is counted

  Scenario: Many idle sessions end at once
    # Guards against lines of a stop that displace other lines.
    When 100 idle sessions end in a second, and one more 2 s later
    Then 21 lines are written, and the last says "left_out=80"
