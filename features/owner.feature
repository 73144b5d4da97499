Feature: Owner of a database
  The owner queues requests, sends them to members, acknowledges them, and replaces a
  failed primary.

  Scenario Outline: A burst of one workspace does not starve the others
    # Guards against a queue in which only the order of arrival counts.
    Given the queueing discipline is <discipline>
    When w1 keeps 40 reads queued while w2 sends one read after another
    Then w2 gets <share> of the service

    Examples:
      | discipline | share           |
      | fair       | at least 45%    |
      | fifo       | less than 20%   |

  Scenario: Reads at replicas do not delay the writes of other workspaces
    # Guards against one virtual time for the primary and the replicas, with which a
    # burst of reads and writes made fair queueing as unfair as fifo.
    Given w1 has 50 writes queued while replicas serve its reads at once
    When w2 queues a write
    Then at most 1 write of w1 is sent before it

  Scenario: Reads that wait for the primary take turns with writes
    # Guards against starvation of the reads or the writes when both wait for the
    # same member.
    Given w1 has 50 writes queued while replicas serve its reads at once
    When w2 queues a read that only the primary can serve
    Then at most 1 write of w1 is sent before it

  Scenario: Weights set the shares of two workspaces that both have work
    # Guards against weights that are ignored or inverted.
    When w1 with weight 3 and w2 with weight 1 have 40 reads queued each
    Then w1 is served 15 of the first 20 reads

  Scenario: A late acknowledgement of a partitioned primary is dropped
    # Guards against acknowledging a write that the new primary does not have.
    When the primary is partitioned after it applied a write that no replica has
    And its answer arrives after the promotion
    Then the write is answered once, from the new primary
    And the new primary's log contains the write once

  Scenario Outline: Two owners promote at once
    # Guards against two current primaries, and against owners that block each other.
    Given the random seed is <seed>
    When both owners lose contact with the primary at the same moment
    Then there is one current primary and every acknowledged write is in its log

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario Outline: A promotion continues after a lost answer
    # Guards against a promotion that stops, or opens two members, when an answer is lost.
    When the primary fails and the answer to <step> is lost
    Then there is one current primary and every acknowledged write is in its log

    Examples:
      | step     |
      | /prepare |
      | /open    |
      | /follow  |

  Scenario: A member that was unreachable follows the new primary when it returns
    # Guards against an old primary that keeps a diverged log after its return.
    When the primary is partitioned during a promotion and returns
    Then it follows the new primary

  Scenario: No two owners ever use the same term
    # Guards against two owners that promote different members in the same term.
    When the terms of 3 ranks in 3 generations are listed
    Then no two terms are equal and each is greater than those of lower generations

  Scenario: A timed-out connection is closed and its late answer is dropped
    # Guards against matching a late answer to another request.
    When a read's answer is lost and arrives later
    Then the read is answered once, over another connection

  Scenario: Timed-out connections are replaced
    # Guards against closed connections that are still counted as used.
    When 10 reads lose their answers and one more read follows
    Then all 11 reads are answered

  Scenario Outline: A write without an answer is retried with the same id
    # Guards against losing or duplicating a write whose answer was lost.
    When the answer to a write is lost <moment> a promotion
    Then the write is acknowledged once and the log contains it once

    Examples:
      | moment |
      | before |
      | during |
      | after  |

  Scenario Outline: A recorded answer is confirmed like a new one
    # Guards against acknowledging a recorded answer that only the primary has.
    When a write is acknowledged and <request> is sent while the replicas are <state>
    Then the recorded answer is <result>

    Examples:
      | request     | state     | result           |
      | its retry   | reachable | returned         |
      | its retry   | isolated  | returned         |
      | its outcome | reachable | returned         |
      | a new write | isolated  | not acknowledged |

  Scenario: A write that no second member confirms is not acknowledged
    # Guards against acknowledging a write that only the primary has.
    When both replicas stop receiving the log and a write is sent
    Then the write is refused with outcome_unknown and ran unknown

  Scenario: A replica with a large lag gets no reads
    # Guards against data older than requested, and against sending all reads to the
    # primary.
    When one replica is 20 s behind and 100 reads of at most 1 s age are sent
    Then all of them are served by the other replica

  Scenario: A replica that applies its log late gets no reads
    # Guards against the assumption that reads show each position that a replica
    # confirmed; the replica refused the reads as behind, and the primary served them.
    When one replica applies 20 s late and 100 writes are each followed by a read
    Then all of them are served by the other replica

  Scenario: A diverged replica never satisfies a token
    # Guards against comparing positions without their terms.
    When a replica has a longer log of an old term and a read carries a token
    Then the read is not served from the diverged log

  Scenario: Data age is counted on the owner's clock
    # Guards against counting the age of a replica's data from the time of its answer.
    When the primary was at position 5 at time 10 and at position 6 at time 11
    Then at time 12 a replica at position 5 is 2 s old and one at position 4 is unknown

  Scenario: A withdrawn key stops the requests that are queued
    # Guards against running queued requests of a withdrawn key.
    When the key of w1 is withdrawn while its requests are queued
    Then its queued requests are refused with unauthorized and never sent

  Scenario Outline: A refusal that says not run is true
    # Guards against refusing a request as not run after a member received it.
    When a request meets <obstacle>
    Then it is refused with <code> and ran <ran>
    And a refusal that says not run means that no member received the request

    Examples:
      | obstacle             | code               | ran     |
      | no assignment        | not_owner          | not_run |
      | a full queue         | queue_full         | not_run |
      | a long queue         | queue_timeout      | not_run |
      | a leaving database   | database_leaving   | not_run |
      | a read-only preset   | writes_not_allowed | not_run |
      | unresponsive members | outcome_unknown    | unknown |

  Scenario: Statements of different transactions are never mixed
    # Guards against a statement on a connection of another transaction or workspace.
    When two workspaces run transactions in turns and one uses the other's id
    Then each transaction ran on its own connection
    And the statement with a wrong id is refused with unknown_transaction and ran not_run

  Scenario Outline: A key that is lost ends the statements of its open transaction
    # Guards against statements and commits in a transaction of a workspace that no
    # longer holds the caller's key, also if they were admitted before the change.
    When the key of a transaction <change> and its <statement> comes from <workspace>
    Then the statement is refused with <code> and has not reached a member
    And the transaction is rolled back once it is idle for too long

    Examples:
      | change      | statement | workspace | code                |
      | is removed  | execute   | w1        | unauthorized        |
      | is removed  | commit    | w1        | unauthorized        |
      | passes on   | execute   | w1        | unauthorized        |
      | passes on   | commit    | w1        | unauthorized        |
      | passes on   | execute   | w2        | unknown_transaction |

  Scenario: An idle transaction is rolled back
    # Guards against a caller that occupies a connection indefinitely.
    When a transaction is left idle for 11 s
    Then its next statement is refused with unknown_transaction and ran not_run

  Scenario: The outcome of a commit whose answer is lost is found
    # Guards against reporting an unknown commit although the member recorded it.
    When the answer to a commit is lost
    Then the commit is acknowledged once and the log contains it once

  Scenario: No more than the slots and the connections are used
    # Guards against overloading a member and against exceeding the connection limit.
    When 50 requests are queued at once
    Then at most 2 statements and 10 connections were in use at each member

  Scenario: A standby owner serves requests that reach it
    # Guards against refusing callers whose instance cannot reach the active owner.
    When a request is sent to a standby owner
    Then it is answered

  Scenario: A busy database has a bounded number of retries
    # Guards against a retry storm.
    When 100 requests are counted and 30 retries are requested
    Then 20 retries are granted

  Scenario: The baseline of the retry experiment has no bound
    # Guards against an experiment that compares the budget with itself.
    When 30 retries are requested without a budget
    Then 30 retries are granted

  Scenario: An independent owner without a rank serves writes and promotes no member
    # Guards against a baseline in which every instance competes for the term.
    Given owners are independent
    When writes reach an owner without a rank before and after a promotion
    Then both writes are answered and only the active owner promoted

  Scenario: One missed probe does not replace the primary
    # Guards against replacing a primary that is slow only briefly.
    Given the owner opens connections in advance on suspicion
    When one probe of the primary is lost
    Then the primary stays and one false alarm is counted

  Scenario: A primary that refuses connections is replaced at once
    # Guards against waiting for further probes although the primary refuses connections.
    When the primary refuses connections while a write is sent
    Then the write is acknowledged within 0.2 s of the owner's clock

  Scenario: A write in flight is retried as soon as the new primary is open
    # Guards against waiting for the answer of a replaced primary.
    When the primary fails with a write in flight
    Then the write is acknowledged within 1.5 s of the owner's clock

  Scenario Outline: A member that promised a newer term without a primary
    # Guards against a promise that blocks the database, and against needless promotions.
    When a replica promised a newer term and the owner is <activity>
    Then the current term is <term>

    Examples:
      | activity   | term       |
      | active     | a higher   |
      | not active | unchanged  |

  Scenario: A read of a replaced primary returns no position that is lost
    # Guards against a token with a position that the new primary does not have.
    When a read of the primary shows an entry that no second member has
    Then its answer contains only the position that a second member has
