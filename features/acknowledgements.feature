Feature: Acknowledgements while a promotion may take effect
  An instance acknowledges a commit only if no promotion that may still take effect can
  lose it. The group has the primary a and the replicas b and c.

  Scenario: With a permit a commit is acknowledged at once
    # Guards against queries to members and delays while no promotion is in progress.
    Given an instance that holds a permit
    When a answers a commit at 3.7
    Then the commit is acknowledged by "permit:0:0ms"
    And no member was queried

  Scenario: A commit is verified once the permit has lapsed
    # Guards against acknowledgements of an instance that may have missed a promotion.
    Given an instance that holds a permit
    When 2500 ms pass
    And a answers a commit at 3.7
    And 10 ms pass
    Then the commit is acknowledged by "received:b,c"

  Scenario: Evidence that arrives during a verification ends it
    # Guards against a commit in doubt that no promotion can lose.
    Given an instance that holds a permit
    And b has received the log up to 3.6
    When 2500 ms pass
    And a answers a commit at 3.7
    And 100 ms pass
    Then the commit is pending
    When the store is read
    Then the commit is acknowledged by "permit:0:0ms"

  Scenario: A machine that was suspended holds no permit
    # Guards against acknowledgements after a freeze in which a promotion was made.
    Given an instance that holds a permit
    And b has received the log up to 3.6
    When the machine is suspended for 3 s
    And a answers a commit at 3.7
    And 500 ms pass
    Then the commit is in doubt as "not known to be received by b"

  Scenario Outline: What a verification accepts
    # Guards against an acknowledged commit that the promoted member lacks, and against
    # a wait without an end.
    Given an instance that has no evidence
    And b has received the log up to <b>
    When a answers a commit at 3.7 with <left> ms left
    And <pending> ms pass
    Then the commit is pending
    When 20 ms pass
    Then the commit is in doubt as "not known to be received by b"

    Examples:
      | b    | left | pending |
      | 3.6  | 1500 | 390     |
      | 4.9  | 1500 | 390     |
      | none | 1500 | 390     |
      | 3.6  | 100  | 90      |

  Scenario: A replica receives the commit a little later
    # Guards against a commit in doubt because of usual replication lag.
    Given an instance that has no evidence
    And b has received the log up to 3.6
    When a answers a commit at 3.7
    And 100 ms pass
    Then the commit is pending
    When b has received the log up to 3.7
    And 30 ms pass
    Then the commit is acknowledged by "received:b,c"

  Scenario: Commits share the queries
    # Guards against a status query for each commit, which takes slots of the members.
    Given an instance that has no evidence
    And b has received the log up to 3.6
    When a answers 50 commits at 3.7
    And 90 ms pass
    Then each member had at most one query at a time and 6 in all

  Scenario Outline: Commits that can't be verified
    # Guards against an acknowledgement that rests on no other member.
    Given an instance that has no evidence
    And the listed members are "<members>"
    When a answers a commit at <position>
    And 420 ms pass
    Then the commit is in doubt as "not known to be received by <missing>"

    Examples:
      | members | position | missing         |
      | a       | 3.7      | unknown members |
      | a,b,c   | none     | b,c             |

  Scenario: A suspended group acknowledges nothing until the attempt has ended
    # Guards against commits that are acknowledged after the logs were compared.
    Given an instance that holds a permit
    When the state "token 5 suspended" is announced
    And a answers a commit at 3.7
    And 500 ms pass
    Then the commit is pending
    When the state "token 5 ended" is announced
    Then the commit is acknowledged by "permit:5:500ms"

  Scenario: A commit is in doubt if the suspension outlasts the statement
    # Guards against a write without a deadline.
    Given an instance that holds a permit
    When the state "token 5 suspended" is announced
    And a answers a commit at 3.7 with 300 ms left
    And 310 ms pass
    Then the commit is in doubt as "a promotion is being decided"

  Scenario Outline: A commit with an outstanding request
    # Guards against an acknowledged commit that a late promotion of b loses, and against
    # a commit that waits for a member which is not requested.
    Given an instance that holds a permit
    And <lagging> has received the log up to 3.6
    When the state "token 5 requested b" is announced
    And 10 ms pass
    And a answers a commit at 3.7
    And 420 ms pass
    Then the commit is <result>

    Examples:
      | lagging | result                                       |
      | b       | in doubt as "not known to be received by b"  |
      | c       | acknowledged by "received:b"                 |

  Scenario: A commit that was sent before a promotion is verified
    # Guards against a commit of the former primary that the promoted member lacks.
    Given an instance that holds a permit
    And c has received the log up to 3.6
    When a is sent a commit, and answers it at 3.7 after the state "token 5 promoted b" was announced
    And 420 ms pass
    Then the commit is in doubt as "not known to be received by c"

  Scenario: A commit that was sent during a suspension whose request was not seen
    # Guards against a commit of the former primary, sent just after the announcement of
    # the suspension: the end of the attempt names the same token and no request.
    Given an instance that holds a permit
    And c has received the log up to 3.6
    When the state "token 5 suspended" is announced
    And 5 ms pass
    And a is sent a commit, and answers it at 3.7 after the state "token 5 promoted b" was announced
    And 420 ms pass
    Then the commit is in doubt as "not known to be received by c"

  Scenario: A request that becomes outstanding during a verification counts too
    # Guards against a decision that was made before the last state.
    Given an instance that holds a permit
    And b has received the log up to 3.6
    And c has received the log up to 3.6
    When the state "token 5 requested b" is announced
    And a answers a commit at 3.7
    And 50 ms pass
    And the state "token 6 requested b and c" is announced
    And b has received the log up to 3.7
    And 400 ms pass
    Then the commit is in doubt as "not known to be received by c"

  Scenario: An announcement gives no permit
    # Guards against acknowledgements of an instance that knows of one promotion only.
    Given an instance that has no evidence
    And b has received the log up to 3.6
    When the state "token 5 ended" is announced
    And a answers a commit at 3.7
    And 420 ms pass
    Then the commit is in doubt as "not known to be received by b"

  Scenario: An older state is ignored
    # Guards against a read that was made before an announcement and arrives after it.
    Given an instance that holds a permit
    When the state "token 5 suspended" is announced
    And the store is read with the state "token 4 ended"
    And a answers a commit at 3.7
    And 100 ms pass
    Then the commit is pending

  Scenario: A suspension ends when the holder of the lock has died
    # Guards against a group that acknowledges nothing any more.
    Given an instance that holds a permit
    When the state "token 5 suspended" is announced
    And a answers a commit at 3.7
    And the store is read with the state "token 5 expired"
    Then the commit is acknowledged by "permit:5:0ms"

  Scenario: A restored store gives no permit for 6 s
    # Guards against acknowledgements while a lock is held that the store has forgotten.
    Given an instance that holds a permit
    And b has received the log up to 3.6
    When the store is read in the epoch 2
    And a answers a commit at 3.7
    And 420 ms pass
    Then the commit is in doubt as "not known to be received by b"
    When 5600 ms pass
    And it registers in the epoch 2
    And the store is read in the epoch 2
    And a answers a commit at 3.7
    Then the commit is acknowledged by "permit:0:0ms"

  Scenario: A restored store does not suspend a group for ever
    # Guards against a suspension whose record the store has forgotten.
    Given an instance that holds a permit
    When the state "token 5 suspended" is announced
    And the store is read in the epoch 2
    And 5900 ms pass
    And a write is to be sent with 1000 ms left
    And 90 ms pass
    Then the write is held
    When 20 ms pass
    And the store is read in the epoch 2
    Then the write may be sent

  Scenario: A write is not sent while the group is suspended
    # Guards against writes whose outcome is unknown only because they were sent.
    Given an instance that holds a permit
    When the state "token 5 suspended" is announced
    And a write is to be sent with 300 ms left
    And 290 ms pass
    Then the write is held
    When 20 ms pass
    Then the write may not be sent as "a promotion is being decided"

  Scenario: A write is sent once the suspension has ended
    # Guards against writes that are refused at each short suspension.
    Given an instance that holds a permit
    When the state "token 5 suspended" is announced
    And a write is to be sent with 300 ms left
    And 100 ms pass
    And the state "token 5 ended" is announced
    Then the write may be sent

  Scenario: Writes are held after a failed verification
    # Guards against a commit in doubt for each write while a member lacks the log.
    Given an instance that has no evidence
    And b has received the log up to 3.6
    When a answers a commit at 3.7
    And 405 ms pass
    Then the commit is in doubt as "not known to be received by b"
    When a write is to be sent with 1000 ms left
    And 480 ms pass
    Then the write is held
    When 20 ms pass
    Then the write may be sent

  Scenario: A group without synchronous replication is served as before
    # Guards against delays and refusals where no replica confirms a commit.
    Given an instance that has no evidence
    And the configuration says that the group has 0 synchronous replicas
    When the state "token 5 suspended" is announced
    And a answers a commit at none
    Then the commit is acknowledged by "asynchronous"
    When a write is to be sent with 1000 ms left
    Then the write may be sent

  Scenario: A group becomes asynchronous while a commit is being verified
    # Guards against a session that gets no answer because no evidence has arrived.
    Given an instance that has no evidence
    And b has received the log up to 3.6
    When a answers a commit at 3.7
    And 50 ms pass
    And the configuration says that the group has 0 synchronous replicas
    Then the commit is acknowledged by "asynchronous"

  Scenario: An announcement is confirmed to its sender
    # Guards against promotions that wait for the time of a permit each time.
    Given an instance that holds a permit
    When the state "token 5 suspended" is announced
    Then the announcement is confirmed to "10.0.1.2:7"

  Scenario: The announcement of the instance itself is confirmed to its fence
    # Guards against a fence that waits for its own instance.
    Given an instance that holds a permit
    When it announces the state "token 5 suspended" itself
    Then the fence has got the confirmation and no datagram was sent

  Scenario Outline: Requests are withdrawn if the primary stays
    # Guards against replicas that stay paused, and against attempts that disturb one
    # that is in progress.
    Given an instance that holds a permit
    When the state "<state>" is announced
    And <ms> ms pass
    Then <count> withdrawals of the primary a were triggered

    Examples:
      | state                         | ms   | count |
      | token 5 requested b           | 290  | 0     |
      | token 5 requested b           | 1810 | 1     |
      | token 5 requested b           | 3850 | 3     |
      | token 5 requested a           | 2350 | 0     |
      | token 5 promoted b            | 2350 | 0     |
      | token 5 suspended requested b | 2350 | 0     |

  Scenario: No withdrawal is triggered without a primary
    # Guards against a withdrawal in place of a failover.
    Given an instance that holds a permit
    And the listed members are "b,c"
    When the state "token 5 requested b" is announced
    And 2000 ms pass
    Then 0 withdrawals of the primary a were triggered
    When the listed members are "a,b,c"
    And 1810 ms pass
    Then 1 withdrawals of the primary a were triggered

  Scenario Outline: Acknowledged commits that a promotion has lost are reported
    # Guards against a loss that only callers notice.
    Given an instance that holds a permit
    When a answers a commit at 3.7
    And the log lines are collected
    And the state "token 5 compared <end> requested b" is announced
    Then 0 losses were reported
    When the state "token 5 compared <end> promoted b" is announced
    And the state "token 5 released compared <end> promoted b" is announced
    Then <count> losses were reported

    Examples:
      | end | count |
      | 3.7 | 0     |
      | 3.6 | 1     |
