Feature: Owner of a database
  The owner queues, places and acknowledges requests, and replaces a failed primary.

  Scenario Outline: A flooding workspace does not crowd out the others
    # Guards against a queue in which the order of arrival decides alone.
    Given the queueing discipline is <discipline>
    When w1 keeps 40 reads queued while w2 sends one read after another
    Then w2 gets <share> of the service

    Examples:
      | discipline | share           |
      | fair       | at least 45%    |
      | fifo       | less than 20%   |

  Scenario: A flood's reads at replicas do not put others behind its queue
    # Guards against a virtual time shared by the primary and the replicas, with
    # which a flood of reads and claims made fair queueing as bad as fifo.
    Given w1 has 50 claims queued while replicas serve its reads at once
    When w2 queues a claim
    Then at most 1 claim of w1 is sent before it

  Scenario: Reads that wait for the primary take turns with claims
    # Guards against starving the requests of one resource when both wait for the
    # same member.
    Given w1 has 50 claims queued while replicas serve its reads at once
    When w2 queues a read that only the primary can serve
    Then at most 1 claim of w1 is sent before it

  Scenario: Weights set the shares of two workspaces that both have work
    # Guards against weights that are ignored, or applied the wrong way round.
    When w1 with weight 3 and w2 with weight 1 have 40 reads queued each
    Then w1 is served 15 of the first 20 reads

  Scenario: A late acknowledgement of a cut-off primary reaches nobody
    # Guards against acknowledging a write that the new history does not hold.
    When the primary is cut off after it took a write that no replica holds
    And its answer arrives after the promotion
    Then the write is answered once, from the new primary
    And the new primary's log holds the write once

  Scenario Outline: Two seats promote at once
    # Guards against two primaries in force, and against seats that block each other.
    Given the random seed is <seed>
    When both seats lose the primary at the same moment
    Then one primary is in force and every acknowledged write is in its log

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario Outline: A promotion goes on after a lost answer
    # Guards against a promotion that stops, or opens two members, when an answer is lost.
    When the primary fails and the answer to <step> is lost
    Then one primary is in force and every acknowledged write is in its log

    Examples:
      | step     |
      | /prepare |
      | /open    |
      | /follow  |

  Scenario: A member that was unreachable follows the new primary when it returns
    # Guards against an old primary that keeps its own history after its return.
    When the primary is cut off for a promotion and returns
    Then it follows the new primary

  Scenario: No two seats ever use the same term
    # Guards against one term with two possible promoters.
    When the terms of 3 seats in 3 generations are listed
    Then no two are equal and each is greater than those of lower generations

  Scenario: A silent connection is closed and its late answer reaches nobody
    # Guards against a late answer being taken for the answer to another request.
    When a read's answer is lost and arrives later
    Then the read is answered once, over another connection

  Scenario: Silent connections are replaced
    # Guards against closed connections that are counted as used for ever.
    When 10 reads lose their answers and one more read follows
    Then all 11 reads are answered

  Scenario Outline: A lost claim is looked up with the same id
    # Guards against losing or duplicating a claim whose answer was lost.
    When the answer to a claim is lost <moment> a promotion
    Then the claim is acknowledged once and the log holds it once

    Examples:
      | moment |
      | before |
      | during |
      | after  |

  Scenario Outline: A recorded answer is confirmed like a new one
    # Guards against acknowledging a recorded answer that only the primary holds.
    When a claim is acknowledged and <request> is sent while the replicas are <state>
    Then the recorded answer is <result>

    Examples:
      | request     | state     | result           |
      | its repeat  | reachable | returned         |
      | its repeat  | cut off   | returned         |
      | its outcome | reachable | returned         |
      | a new claim | cut off   | not acknowledged |

  Scenario: A claim that no second member confirms is not acknowledged
    # Guards against acknowledging a write that only the primary holds.
    When both replicas stop receiving the log and a claim is sent
    Then the claim is refused with outcome_unknown and ran unknown

  Scenario: A replica far behind gets no read
    # Guards against data older than stated, and against losing the replica share.
    When one replica is 20 s behind and 100 reads of at most 1 s age are sent
    Then all of them are served by the other replica

  Scenario: A replica that logs at once but applies late gets no read
    # Guards against taking its confirmations for data that its reads show; the
    # reads came back as behind and went to the primary.
    When one replica applies 20 s late and 100 claims are each followed by a read
    Then all of them are served by the other replica

  Scenario: A diverged replica never satisfies a token
    # Guards against comparing positions without their terms.
    When a replica holds a longer log of an old term and a read carries a token
    Then the read is not served from the diverged log

  Scenario: Data age is counted on the owner's clock
    # Guards against counting a replica's data as fresh from the time of the answer.
    When the primary was at position 5 at time 10 and at position 6 at time 11
    Then at time 12 a replica at position 5 is 2 s old and one at position 4 is unknown

  Scenario: A withdrawn key stops the requests that are queued
    # Guards against running queued requests of a key that has been withdrawn.
    When the key of w1 is withdrawn while its requests are queued
    Then its queued requests are refused with unauthorized and never sent

  Scenario Outline: A refusal that says not run is true
    # Guards against a refusal of a request that a member has received.
    When a request meets <obstacle>
    Then it is refused with <code> and ran <ran>
    And a refusal that says not run means that no member received the request

    Examples:
      | obstacle           | code                | ran     |
      | no seat            | not_owner           | not_run |
      | a full queue       | queue_full          | not_run |
      | a long queue       | queue_timeout       | not_run |
      | a leaving database | database_leaving    | not_run |
      | a read-only preset | writes_not_allowed  | not_run |
      | silent members     | outcome_unknown     | unknown |

  Scenario: Statements of different transactions are never mixed
    # Guards against a statement on a connection of another transaction or workspace.
    When two workspaces run transactions in turns and one tries the other's id
    Then each transaction ran on its own connection
    And the foreign statement is refused with unknown_transaction and ran not_run

  Scenario: An idle transaction is rolled back
    # Guards against a caller that holds a connection for ever.
    When a transaction is left idle for 11 s
    Then its next statement is refused with unknown_transaction and ran not_run

  Scenario: A commit whose answer is lost is found again
    # Guards against reporting an unknown commit although the member recorded it.
    When the answer to a commit is lost
    Then the commit is acknowledged once and the log holds it once

  Scenario: No more than the slots and the connections are used
    # Guards against overloading a member and against exceeding the connection limit.
    When 50 requests are queued at once
    Then at most 2 statements and 10 connections were in use at each member

  Scenario: A seat that is not active serves requests that reach it
    # Guards against refusing callers that cannot reach the active seat.
    When a request is sent to a seat that is not active
    Then it is answered

  Scenario: A busy database has a bounded number of retries
    # Guards against a retry storm.
    When 100 requests are counted and 30 retries are wished for
    Then 20 retries are granted

  Scenario: The baseline of the retry experiment has no bound
    # Guards against an experiment that compares the budget with itself.
    When 30 retries are wished for without a budget
    Then 30 retries are granted

  Scenario: An independent owner serves claims without a seat and promotes nobody
    # Guards against a baseline in which every instance competes for the term.
    Given owners are independent
    When claims reach an owner without a seat before and after a promotion
    Then both claims are answered and only the seat promoted

  Scenario: One missed probe does not replace the primary
    # Guards against replacing a primary that is only slow for a moment.
    Given the owner prepares at suspicion
    When one probe of the primary is lost
    Then the primary stays and one false alarm is counted

  Scenario: A primary that refuses connections is replaced at once
    # Guards against waiting for probes when the primary's process is known to be gone.
    When the primary refuses connections while a claim is sent
    Then the claim is acknowledged within 0.2 s of the owner's clock

  Scenario: A claim in flight is repeated as soon as the new primary is open
    # Guards against waiting for the answer of a replaced primary.
    When the primary fails with a claim in flight
    Then the claim is acknowledged within 1.5 s of the owner's clock

  Scenario Outline: A member that promised a newer term without a primary
    # Guards against a promise that blocks the database, and against needless promotions.
    When a replica promised a newer term and the seat is <activity>
    Then the term in force is <term>

    Examples:
      | activity   | term       |
      | active     | a higher   |
      | not active | unchanged  |

  Scenario: A read of a replaced primary leaves no position that is lost
    # Guards against a token that names an entry which the new history lacks.
    When a read of the primary shows an entry that no second member holds
    Then its answer carries only the position that a second member holds
