Feature: Callers' sessions on the users' platform
  Statements of a session reach members unchanged, each transaction on one connection.

  Background:
    Given an instance with stand-ins for the store and the members

  Scenario: A session reads its own write
    # Guards against failures between caller and member, and against a read at a member
    # that does not have the write.
    When a caller of "session-db" sends "WRITE bean 12"
    And it sends "READ bean"
    Then the answer is "ROW 12 / DONE 7.1f3.c / READY I -"
    And the members ran the statements under the callers' request ids

  Scenario: A read at the primary runs only at a member that is the primary
    # Guards against a stale read at a former primary.
    When a caller of "primary-db" sends "READ bean"
    Then the read ran inside a transaction at the primary

  Scenario: A position sample ages while the machine is suspended
    # Guards against a stale read after a suspension, which the monotonic clock does
    # not count: a replica would only need a position from before the suspension.
    Given a caller of "bounded-db" whose read ran at a replica
    When the machine was suspended for 4 s
    And it sends "READ bean"
    Then the read ran inside a transaction at the primary

  Scenario Outline: An invalid handshake is refused
    # Guards against serving a caller without a route or a valid key.
    When a caller opens "<database>" with the key "<key>"
    Then the session is refused with <code>

    Examples:
      | database   | key       | code   |
      | nowhere    | key-of-w1 | NODB   |
      | primary-db | key-x     | NOAUTH |

  Scenario Outline: A malformed statement is answered and affects no other session
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

  Scenario: An invalid line ends only its own session
    # Guards against a second message that is hidden behind another kind of line break.
    When a caller of "primary-db" sends the bytes "QUERY 1 READ a<LF>QUERY 2 READ b<CR><LF>"
    Then its session is closed
    And another caller can read

  Scenario: Pipelined statements are answered in order
    # Guards against answers that reach the wrong statement.
    When a caller of "primary-db" sends "WRITE a 1" and "READ a" in one write
    Then it gets both answers in order

  Scenario: A transaction runs on one connection and its rollback undoes its writes
    # Guards against mixing the statements of different transactions.
    When a caller of "primary-db" sends "BEGIN"
    And it sends "WRITE a 5"
    And it sends "READ a"
    And it sends "ROLLBACK"
    Then all runs of the caller were on one connection
    And the item "a" does not exist

  Scenario: Session values and prepared statements belong to one session
    # Guards against session values that leak through a shared connection.
    When two callers of "primary-db" set different values and prepare the same name
    Then each statement ran with the values and the template of its session

  Scenario: A session value that a member refuses does not count as set
    # Guards against a statement that runs with the value before, or with that of
    # another session, after a busy member has refused SET (PINNED).
    Given a caller of "primary-db" whose value is set on its connection
    When it sets another value, and the member refuses it as busy once
    Then 4 transactions at once, which use all connections, run with the new value

  Scenario: An unanswered commit has an unknown outcome and is not retried
    # Guards against executing a write twice, and against reporting a write that has run
    # as not run.
    When a caller of "primary-db" sends "WRITE a 1" and its answer is lost
    Then the answer begins with "ERR INDOUBT"
    And the write ran once

  Scenario: A write that a member has not run is retried
    # Guards against refusing a write that could safely be retried.
    When the members answer BUSY to a caller's write for a short time
    Then the answer is "DONE 7.1f3.c / READY I -"
    And the write ran once

  Scenario: A withdrawn key stops working while its caller is connected
    # Guards against checking keys only during the handshake.
    When a caller's key is withdrawn
    Then its next statements are refused with NOAUTH

  Scenario: An open transaction outlives the removal of its route
    # Guards against a configuration change that aborts a transaction begun before it.
    When a caller has a transaction open and its route is removed
    Then the transaction can commit
    And its next statement is refused with NODB

  Scenario: A refused operation above the rate has not run
    # Guards against a rate limit that is applied only after an operation has run.
    When a caller of the small workspace sends 40 writes at once
    Then those that were refused with BUSY did not run
    And at most 12 ran

  Scenario: A killed primary is replaced, and each promotion has its own fencing token
    # Guards against a failed primary that is not replaced, and a token used twice.
    When the primary is killed
    Then a write succeeds at another member
    And each promotion had another fencing token

  Scenario: A leaving primary is replaced while it still serves
    # Guards against waiting until a leaving primary has stopped.
    When the primary announces its shutdown
    Then another member is the primary before the old one has stopped
    And a write succeeds at another member

  Scenario: A statement times out if the members don't answer
    # Guards against waiting forever for an answer on an open connection.
    When the members stop answering
    Then a read is refused within its time limit
    And a read succeeds after they answer again

  Scenario: The instance serves while the store is unavailable
    # Guards against statements that depend on the store.
    When the store is unavailable
    Then another caller can read

  Scenario: The configuration is confirmed as soon as the store returns
    # Guards against waiting for a change before the configuration is confirmed: in the
    # test day store-away-primary-lost all instances refused statements for 12 s, because
    # their configuration was too old.
    When the store is unavailable for a moment
    Then the first request for the configuration after its return is answered at once

  Scenario: A lost answer of the store does not stop the renewal of rate leases
    # Guards against retrying a write without checking the record, and against never
    # renewing the leases again.
    When the store loses the answers of 2 writes
    Then the rate leases are renewed again

  Scenario: A graceful shutdown does not close a session between two statements
    # Guards against a statement that is on its way when its session is closed as idle:
    # its caller gets no answer and may not repeat a write.
    When the instance begins to stop while a caller sends a write every 50 ms
    Then every write until its sessions are aborted is answered

  Scenario: A graceful shutdown closes idle sessions and lets a transaction end
    # Guards against a shutdown that interrupts a transaction.
    When a caller has a transaction open and the instance begins to stop
    Then an idle session of another caller is told that it is closing
    And the transaction can commit
    And the idle session ends without a further line
    And the instance has stopped
