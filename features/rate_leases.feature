Feature: Leases of the workspaces' rates
  Every rate is divided into four parts, whatever the number of instances, and each part
  has one holder at a time, which the other instances ask for tokens.

  Scenario: A part of the rates never has two holders
    # Guards against two instances that admit from the same part after pauses, crashes
    # and late writes.
    Given any order of writes, pauses and crashes of 5 instances
    Then no part may be used by two of them at the same time

  Scenario: A restarted instance renews its leases at once
    # Guards against a part of the rates that stays out of use until a lease expires.
    Given 4 instances of which each holds a lease
    When the first restarts 0.5 s after it renewed its lease
    Then it writes the record at once, and holds what it held

  Scenario: The lease of a lost instance passes to another one
    # Guards against a rate that stays reduced after the loss of an instance.
    Given 4 instances of which each holds a lease
    When the first is lost for 18 s while the others renew
    Then the 4 leases are held by the other 3

  Scenario: An instance without a lease claims a free one first
    # Guards against one instance that holds most of the rates, whose loss would stop
    # most operations.
    Given 31 instances and a record without leases
    Then the first 4 claims are by 4 instances

  Scenario Outline: The writes of the record do not grow with the instances
    # Guards against a record that all instances renew (SHORT).
    Given <instances> instances that keep the leases for 30 s
    Then the record is written at most 50 times

    Examples:
      | instances |
      | 4         |
      | 31        |

  Scenario: Requests to holders create no tokens
    # Guards against requests between instances that increase the total number of tokens.
    Given any order of spending and returning tokens of 4 holders
    Then no window holds more operations than the burst plus the rate over the window

  Scenario Outline: The bursts of all parts stay close to a limit
    # Guards against a burst of 1 at each of 31 instances, which together exceed a small
    # limit (SHORT).
    Given a workspace with a rate of 8/s and a burst of <burst>
    Then the parts together have a burst of <total>

    Examples:
      | burst | total |
      | 1     | 4     |
      | 5     | 5     |
      | 16    | 16    |

  Scenario: A holder without a token does not end the search
    # Guards against a refusal although another part of the rate has tokens.
    Given an instance without a lease that knows 3 holders
    When the first two holders it asks have no token and the third has one
    Then the operation is admitted after 3 requests

  Scenario: An operation is refused when no holder has a token
    # Guards against an operation that waits although its refusal is certain.
    Given an instance without a lease that knows 3 holders
    When none of the holders has a token, and the shortest wait is 120 ms
    Then the operation is refused at once and may return after 120 ms

  Scenario: A holder that does not reply is skipped for a while
    # Guards against a timeout for each operation while a holder is frozen.
    Given an instance without a lease that knows 3 holders
    When the first holder it asks does not reply within 30 ms
    Then it asks another holder, and further operations do not ask the silent one

  Scenario: A second reply to a request admits nothing
    # Guards against a token that a duplicated or late reply doubles.
    Given an instance without a lease that knows 3 holders
    When a holder grants one token twice
    Then one operation is admitted

  Scenario Outline: One instance of a failure domain reads for the others
    # Guards against a store that every instance polls (SHORT), and against a list that
    # nobody reads after the reader is lost.
    Given 10 instances in the failure domain, of which <lost> do not answer
    Then the list of members is read <interval> s after the last one

    Examples:
      | lost | interval |
      | 0    | 1.0      |
      | 1    | 1.4      |
      | 3    | 2.2      |

  Scenario: Without an answer of the store no time of its clock is recent
    # Guards against an instance that starts while the store is away and takes what
    # others pass on as valid for ever.
    Given an instance that has seen no answer of the store
    When another instance passes on something confirmed at the store's time 5000
    Then it counts as infinitely old

  Scenario: A restarted instance reads the holders soon after the store returns
    # Guards against a fleet that refuses operations for a second longer than the store
    # is away: trouble-2 of saltbush-swap-grown, 284 refusals after a loss of power.
    Given an instance that starts while the store does not answer
    When the store answers after 3 s
    Then the instance knows the holders within 0.3 s
