Feature: Database member stand-in
  A member keeps every acknowledged entry of its replicated log and truncates entries
  that the current primary does not have.

  Background:
    Given members a, b and c with a as the primary of term 1

  Scenario Outline: An acknowledged entry survives a promotion by any majority
    # Guards against choosing a member that lacks an entry that two members had.
    Given replication to <behind> is stopped
    And the write "w1" at a in term 1 is confirmed by <ahead>
    And member a is isolated
    And replication to <behind> is resumed
    When b and c promise term 2 and the one with the greatest position opens it
    Then member <ahead> is the primary
    And claim "w1" is stored at b and c

    Examples:
      | ahead | behind |
      | b     | c      |
      | c     | b      |

  Scenario: Entries that the new primary does not have are truncated
    # Guards against a replaced primary that keeps entries that the new log lacks.
    Given replication to b is stopped
    And replication to c is stopped
    And the write "lost" at a in term 1 succeeds
    When b is promoted in term 2 with c and a as replicas
    And the write "kept" at b in term 2 succeeds
    Then claim "kept" is stored at a, b and c
    And claim "lost" is stored at none of a, b and c
    And the logs of a, b and c are equal

  Scenario: A session token of a lost entry is not satisfied by a log of the same length
    # Guards against comparing positions only by their sequence numbers.
    Given replication to b is stopped
    And replication to c is stopped
    And the write "lost" at a in term 1 succeeds
    When b is promoted in term 2 with c and a as replicas
    Then the logs of a, b and c are equal
    And a read at a, b and c at the position of "lost" is refused as diverged

  Scenario: A retry returns the recorded result, also after a promotion
    # Guards against a binding write that runs twice.
    Given the write "w1" at a in term 1 is confirmed by b
    When the write "w1" is retried at a in term 1
    Then the answer is the recorded result
    When b is promoted in term 2 with c as replica
    And the write "w1" is retried at b in term 2
    Then the answer is the recorded result
    And claim "w1" is stored at b and c

  Scenario: A retry with another body is refused
    # Guards against returning the recorded result of a different request.
    Given the write "w1" at a in term 1 succeeds
    When the write "w1" is retried at a in term 1 with another body
    Then it is refused as request_id_conflict

  Scenario Outline: A call with an old term is refused
    # Guards against executing a request for a primary that has been replaced.
    Given member a has promised term 5
    When <call> is sent to a with term 1
    Then it is refused as stale_term

    Examples:
      | call      |
      | read      |
      | write     |
      | begin     |
      | commit    |
      | outcome   |
      | confirm   |
      | open      |
      | follow    |
      | replicate |

  Scenario: An old term is not promised again
    # Guards against two promotions that both have the promises of a majority.
    Given member a has promised term 5
    When prepare is sent to a with term 4
    Then the promise is refused and the answer names term 5

  Scenario: A queued write is refused after the promise of a newer term
    # Guards against a write that commits after its term has been replaced.
    Given statements take 100 ms
    When the write "w1" is sent to a in term 1 and is in service
    And member a has promised term 5
    Then it is refused as stale_term
    And claim "w1" is stored at none of a, b and c

  Scenario: A write at a replaced primary stays unconfirmed
    # Guards against acknowledging a write that the new primary's log lacks.
    Given member a is isolated from b and c
    When b is promoted in term 2 with c as replica
    And the write "late" at a in term 1 succeeds
    Then b and c do not confirm "late" in term 1 or 2

  Scenario: A member that lacks the first entry of a term does not confirm in it
    # Guards against counting a member whose log may be less advanced than a diverged
    # one at the next promotion.
    Given the write "w1" at a in term 1 is confirmed by b
    When a opens term 2, which b has promised but does not follow
    Then "w1" is not confirmed by b in term 2

  Scenario: The transaction of a lost connection is rolled back
    # Guards against statements that remain after the caller's transaction has ended.
    Given a transaction at a that inserted claim "t1"
    When its connection is lost
    Then its commit on another connection is refused as unknown_transaction
    And claim "t1" is stored at none of a, b and c

  Scenario: An open transaction is refused after the promise of a newer term
    # Guards against a transaction that commits after its term has been replaced.
    Given a transaction at a that inserted claim "t1"
    And member a has promised term 5
    Then its next statement is refused as stale_term
    And its commit is refused as stale_term

  Scenario: Statements beyond the slots wait in the order of arrival
    # Guards against a member that runs more statements at once than it has slots.
    Given statements take 100 ms
    When 5 reads are sent to a at once
    Then after each 100 ms the next 2 of them are answered

  Scenario: A closed connection no longer counts against the connection limit
    # Guards against counting connections whose sockets are closed.
    Then closing a socket while its read waits makes room for another connection

  Scenario: A transaction whose results changed cannot commit
    # Guards against a commit on data that another transaction has changed.
    Given a transaction at a that read the number of claims
    When the write "w1" at a in term 1 succeeds
    Then its commit is refused as commit_conflict

  Scenario Outline: A read cannot write
    # Guards against changes that bypass the log.
    When the read "<sql>" is sent to a
    Then it is refused as bad_statement

    Examples:
      | sql                              |
      | DELETE FROM claims               |
      | PRAGMA query_only                |
      | BEGIN                            |
      | SELECT * FROM _recorded_requests |

  Scenario: An entry is confirmed before it is applied
    # Guards against a confirmation that waits for the replication lag.
    Given replicas apply entries after 200 ms
    And the write "w1" at a in term 1 is confirmed by b
    Then a read at b at the position of "w1" is refused as behind
    And a read at b at the position of "w1" succeeds after waiting 300 ms

  Scenario: A write on a connection that stops answering takes effect
    # Guards against an unknown outcome that cannot be resolved by its request id.
    Given statements take 100 ms
    When the write "w1" is sent to a in term 1 and is in service
    And the open connections of a stop answering
    Then it is never answered
    And a new connection to a finds the outcome of "w1"

  Scenario: A page of rows ends at its row limit or at 1 MiB
    # Guards against answers of unbounded size.
    Then reading 2500 small rows at a takes 3 pages
    And reading 5 rows of 400 KB at a takes 3 pages

  Scenario: The connection limit counts connections that called connect
    # Guards against more open connections than the member allows.
    Then a connection to a that has not called connect is refused as not_connected
    And 16 connections to a can be open, and the next is refused

  Scenario: No history of promises, opens and fetches loses an acknowledged entry
    # Guards against an order of events that no other scenario covers.
    Then in 300 generated histories no acknowledged entry is lost
