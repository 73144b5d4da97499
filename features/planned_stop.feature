Feature: Callers of an instance that stops
  A planned stop cuts off no operation: what has begun ends or is answered, and what
  can't end any more is refused before it begins.

  Scenario: A transaction that begins late in a stop is not cut off
    # Guards against a stopping instance that takes a new transaction, runs its first
    # statements and closes the connection between two of them (LOST).
    Given an instance with stand-ins for the store and the members
    When it begins to stop while callers keep opening sessions for one transaction each
    Then every transaction was answered to its end or refused before it began
    And transactions that began after the stop were committed

  Scenario: A transaction that outlasts a stop is told that nothing is kept
    # Guards against closing a connection between two statements: its caller can't know
    # whether its transaction was rolled back.
    Given an instance with stand-ins for the store and the members
    When a caller writes in a transaction and waits until the stop refuses statements
    Then its next statement is refused with ABORTED, and nothing is kept

  Scenario: A statement that a stop overtakes is answered before the process exits
    # Guards against a connection that ends without an answer while a member is silent.
    Given an instance with stand-ins for the store and the members
    When it begins to stop while a caller's commit waits for a silent member
    Then the commit is answered with INDOUBT

  Scenario: A statement that crosses the closing of its idle session is answered
    # Guards against a connection that ends without an answer to a whole statement, which
    # was unread in the kernel's buffer or in flight when a stop closed the session.
    Given an instance with stand-ins for the store and the members
    When 16 callers send a statement in the moment in which a stop closes idle sessions
    Then each of them has a complete answer
    And only statements that were answered with rows have run at a member

  Scenario: An idle caller is told that its session is about to be closed
    # Guards against a caller that learns of the closing only from the end of the stream.
    Given an instance with stand-ins for the store and the members
    When a stop reaches an idle session of a caller that reads and one of a caller that does not
    Then the caller that reads has got ERR BUSY without READY before the end of the stream
    And the other one's session is closed before the instance has to exit

  Scenario: A message of which a part has arrived is not answered by a notice
    # Guards against a notice that is taken for the answer to another statement.
    Given an instance with stand-ins for the store and the members
    When a stop closes idle sessions while half of a caller's statement has arrived
    Then the statement runs once its other half has arrived

  Scenario Outline: A transaction that rests until the end of a stop is told that nothing is kept
    # Guards against a connection that ends between two statements at the exit, as its
    # caller can't know whether its transaction was rolled back.
    Given an instance with stand-ins for the store and the members
    When a caller's transaction rests until a stop ends, and then sends "<text>"
    Then it has got ERR ABORTED before it sent the statement, and READY <state> after it
    And nothing of its transaction is kept

    Examples:
      | text          | state |
      | COMMIT        | I     |
      | WRITE more 1  | E     |

  Scenario: A caller that never pauses is told before a stop ends its session
    # Guards against a statement without an answer in a session that is never idle for
    # long enough to be closed before the process exits.
    Given an instance with stand-ins for the store and the members
    When a caller keeps a session until a stop ends and sends a statement every 200 ms
    Then the caller has been told of the end of its session by ERR BUSY before it ended

  Scenario: A connection without START is refused before a stop ends it
    # Guards against a START that is in flight at the exit and gets no answer.
    Given an instance with stand-ins for the store and the members
    When a caller connects and sends nothing until a stop ends
    Then each START is answered with READY or ERR BUSY

  Scenario: Callers that the kernel has accepted when a stop ends are answered
    # Guards against connections that are reset because the process exits with them in
    # the queue of its listening socket.
    Given an instance with stand-ins for the store and the members
    When 20 callers connect in the moment in which a stop ends
    Then each START is answered with READY or ERR BUSY

  Scenario: Callers that the kernel has accepted at the latest exit are answered
    # Guards against resets where the process exits although callers still come.
    Given an instance with stand-ins for the store and the members
    And a caller whose half statement keeps the instance until its latest exit
    When 20 callers connect in the moment of the latest exit
    Then each START is answered with READY or ERR BUSY

  Scenario Outline: A request that reaches an HTTP server as it stops is answered
    # Guards against a connection that is reset although its request was on the way or
    # the kernel had accepted it, and against a server that waits for ever for a client
    # that keeps an idle connection open.
    Given an HTTP server with <connections>
    When it stops and each of them brings a request
    Then every request is answered, with the end of its connection
    And the server has ended, although another client's connection stayed idle

    Examples:
      | connections                              |
      | 20 idle connections                      |
      | 20 connections that it has not accepted  |

  Scenario: A stop ends although peers keep an owner busy
    # Guards against a process that never ends, because peers that don't know of its
    # shutdown go on forwarding requests to it.
    Given an owner that always has a request
    When a stop has waited for it for 61 s
    Then the wait is over
