Feature: Callers' sessions on the users' platform
  Statements of a session reach members unchanged, on one connection a transaction.

  Background:
    Given an instance between stand-ins of the platform

  Scenario: A session reads its own write
    # Guards against a broken path and against a read at a member that lacks the write.
    When a caller of "session-db" sends "WRITE bean 12"
    And it sends "READ bean"
    Then the answer is "ROW 12 / DONE 7.1f3.c / READY I -"
    And the members ran the statements under the callers' ids

  Scenario: A read at the primary runs only where a member leads
    # Guards against a stale read at a former primary.
    When a caller of "primary-db" sends "READ bean"
    Then the read ran inside a transaction at the primary

  Scenario: Evidence of a position ages while the machine is suspended
    # Guards against a stale read after a suspension, which the monotonic clock does
    # not count: a replica would be asked for a position from before it.
    Given a caller of "bounded-db" whose read ran at a replica
    When the machine was suspended for 4 s
    And it sends "READ bean"
    Then the read ran inside a transaction at the primary

  Scenario Outline: A wrong opening is refused
    # Guards against serving a caller without a route or a key.
    When a caller opens "<database>" with the key "<key>"
    Then the session is refused with <code>

    Examples:
      | database   | key       | code   |
      | nowhere    | key-of-w1 | NODB   |
      | primary-db | key-x     | NOAUTH |

  Scenario Outline: A malformed statement gets an answer and hurts nobody
    # Guards against bad input that ends other sessions or reaches a member.
    When a caller of "primary-db" sends "<text>"
    Then the answer begins with "ERR MALFORMED"
    And another caller can read

    Examples:
      | text           |
      | GIBBERISH      |
      | WRITE          |
      | PREPARE a BOTH |
      | COMMIT         |

  Scenario: Bytes that are no line end only their own session
    # Guards against a second message hidden behind another line break.
    When a caller of "primary-db" sends the bytes "QUERY 1 READ a<LF>QUERY 2 READ b<CR><LF>"
    Then its session is closed
    And another caller can read

  Scenario: Pipelined statements are answered in order
    # Guards against answers that reach the wrong statement.
    When a caller of "primary-db" sends "WRITE a 1" and "READ a" in one piece
    Then it gets both answers in order

  Scenario: A transaction runs on one connection and its rollback leaves nothing
    # Guards against statements of different transactions that mix.
    When a caller of "primary-db" sends "BEGIN"
    And it sends "WRITE a 5"
    And it sends "READ a"
    And it sends "ROLLBACK"
    Then all runs of the caller were on one connection
    And the item "a" does not exist

  Scenario: Values and prepared names belong to their session
    # Guards against session values that leak through a shared connection.
    When two callers of "primary-db" set different values and prepare the same name
    Then each statement ran with the values and the shape of its session

  Scenario: A commit without an answer is in doubt and is not repeated
    # Guards against a doubled write, and against "not run" where it has run.
    When a caller of "primary-db" sends "WRITE a 1" and its answer is lost
    Then the answer begins with "ERR INDOUBT"
    And the write ran once

  Scenario: A write that a member has not run is tried again
    # Guards against giving up although nothing has run.
    When the members answer BUSY to a caller's write for a short while
    Then the answer is "DONE 7.1f3.c / READY I -"
    And the write ran once

  Scenario: A withdrawn key stops working while its caller is connected
    # Guards against checking keys only when a session opens.
    When a caller's key is withdrawn
    Then its next statements are refused with NOAUTH

  Scenario: An open transaction outlives the removal of its route
    # Guards against a configuration that cuts work which began before it.
    When a caller has a transaction open and its route is removed
    Then the transaction can commit
    And its next statement is refused with NODB

  Scenario: A refused operation above the rate has not run
    # Guards against a limit that counts after the fact.
    When a caller of the small workspace sends 40 writes at once
    Then those that were refused with BUSY did not run
    And at most 12 ran

  Scenario: A killed primary is replaced under one fencing token each
    # Guards against a primary whose loss nobody replaces, and a token used twice.
    When the primary is killed
    Then a write succeeds at another member
    And each promotion had a token of its own

  Scenario: A leaving primary is replaced while it serves
    # Guards against waiting until a leaving primary is gone.
    When the primary announces that it leaves
    Then another member leads before it is gone
    And a write succeeds at another member

  Scenario: Members that stay silent hold no statement past its time
    # Guards against waiting for ever on a connection that went silent.
    When the members stop answering
    Then a read is refused within its time
    And a read succeeds once they answer again

  Scenario: The instance serves while the store is away
    # Guards against a dependence of each statement on the store.
    When the store is away
    Then another caller can read

  Scenario: The configuration is confirmed as soon as the store returns
    # Guards against a feed that waits for a change before it confirms anything: on the
    # day store-away-primary-lost all instances refused for 12 s as too old.
    When the store is away for a moment
    Then the first call for the configuration after its return is a read

  Scenario: A lost answer of the store does not stop the shares
    # Guards against a write that is repeated blindly or given up for good.
    When the store loses the answers of 2 writes
    Then the shares are renewed again

  Scenario: A planned stop closes sessions at rest and lets a transaction end
    # Guards against a stop that cuts a request.
    When a caller has a transaction open and the instance is told to stop
    Then an idle session of another caller ends without an error
    And the transaction can commit
    And the instance has stopped
