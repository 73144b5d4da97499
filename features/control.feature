Feature: Control side of the instances
  View, authority, seats, configuration and withdrawals hold under faults.

  Scenario Outline: Two operators select presets at once and one answer is lost
    # Guards against two presets in force, a preset that comes back, and a
    # lost answer that is reported as a lost change or made twice.
    Given 4 instances with seed <seed> that have run for 10 s
    When the answers to the writes of "a" are lost
    And "a" is asked at the same time to select "peak" and "b" to select "maintenance"
    And 8 s pass
    Then one operator was told of the success and the other got both versions
    And the preset of the successful operator is in force on every instance
    And no instance ever went back to an older configuration

    Examples:
      | seed |
      | 11   |
      | 31   |
      | 32   |
      | 33   |
      | 34   |

  Scenario Outline: A change is decided by the write id at its version
    # Guards against a stored change that is reported as a lost race because
    # later changes hid its write id, and against a guess when the row forgot it.
    Given 4 instances with seed 35 that have run for 10 s
    When the answers to the writes of "a" are lost
    And "a" is asked to select "peak"
    And the platform stores the change of "a" and <later> later changes
    And 4 s pass
    Then the operator was told "<outcome>"

    Examples:
      | later | outcome         |
      | 0     | stored          |
      | 1     | stored          |
      | 31    | stored          |
      | 32    | outcome_unknown |
      | 40    | outcome_unknown |

  Scenario Outline: A conflict reported to a repeated write is read back
    # Guards against a change that is refused while the platform still holds the
    # version it expects, and against a change that is reported as lost because
    # its own earlier copy was stored first.
    Given 4 instances with seed 36 that have run for 10 s
    When "a" is asked to select "peak"
    And the write of "a" gets a conflict and the platform holds <row>
    And 4 s pass
    Then the operator was told "<outcome>"

    Examples:
      | row                  | outcome   |
      | the expected version | stored    |
      | its own earlier copy | stored    |
      | another change       | lost race |

  Scenario: A key is withdrawn while the platform is down
    # Guards against a withdrawn key that goes on working, or is forgotten,
    # because the platform cannot store the withdrawal.
    Given 4 instances with seed 12 that have run for 10 s
    And a key "k1" of workspace "branch"
    When the platform is down for 5 s
    And "a" is asked to withdraw "k1"
    And 1 s pass
    Then the withdrawal is answered with state "in_force" and is not stored
    And every instance refuses "k1"
    When the platform is up again for 5 s
    Then the platform shows "k1" as withdrawn

  Scenario: A withdrawal that nobody confirms is reported as pending
    # Guards against reporting a withdrawal in force that one instance applied.
    Given 4 instances with seed 13 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "a" is isolated
    And 2 s pass
    And "a" is asked to withdraw "k1"
    And 2 s pass
    Then the withdrawal is answered with state "pending" and is not stored
    When everything heals
    And 15 s pass
    Then the platform shows "k1" as withdrawn

  Scenario: Confirmations without the platform do not put a withdrawal in force
    # Guards against a key that works on an instance which is cut from its peers
    # and keeps its authority by reading the platform.
    Given 4 instances with seed 37 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "a" cannot reach the platform
    And "d" cannot reach its peers
    And "a" is asked to withdraw "k1"
    Then for 8 s no authority accepts "k1" 3 s after it was reported in force
    And the withdrawal is answered with state "pending" and is not stored

  Scenario: The platform without confirmations does not put a withdrawal in force
    # Guards against a key that works on a majority which is cut from the platform
    # and keeps its authority by vouching.
    Given 4 instances with seed 38 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "b", "c", "d" cannot reach the platform
    And "a" cannot reach its peers
    And "a" is asked to withdraw "k1"
    Then for 8 s no authority accepts "k1" 3 s after it was reported in force
    And the withdrawal is answered with state "pending" and is stored

  Scenario: A withdrawal is in force when it is stored and a change quorum confirmed
    # Guards against a withdrawal that waits for an instance that is cut off.
    Given 4 instances with seed 39 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "d" is isolated
    And "a" is asked to withdraw "k1"
    Then for 8 s no authority accepts "k1" 3 s after it was reported in force
    And the withdrawal is answered with state "in_force" and is stored

  Scenario: A member that promised a change does not confirm a withdrawal
    # Guards against a confirmation that the next view does not know of.
    Given 4 instances with seed 40 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "b" is asked by "c" to promise a change of the view
    Then "b" does not confirm the withdrawal of "k1" in its epoch

  Scenario: A change of the view stores the withdrawals of those that promised
    # Guards against a new view whose members read the platform and miss a
    # withdrawal that the members of the old view confirmed.
    Given 4 instances with seed 41 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "a" cannot reach the platform
    And "a" is asked to withdraw "k1"
    And 0.2 s pass
    And "e" is started
    And the platform shows the next view
    Then the platform shows "k1" as withdrawn at the same time

  Scenario: A vouch carries the withdrawals that its sender knows
    # Guards against an instance that keeps its authority through a member whose
    # separate message about the withdrawal was lost.
    Given 4 instances with seed 42 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "d" hears only heartbeat answers
    And "a" cannot reach the platform
    And "a" is asked to withdraw "k1"
    And 1 s pass
    Then "d" refuses "k1"

  Scenario: A withdrawn key stays withdrawn whoever is cut off
    # Guards against a withdrawal that is reported in force while an instance
    # that keeps its authority, or a later view, does not know of it.
    Then none of 80 schedules of cuts lets a withdrawn key pass

  Scenario: A change during an outage is refused and loses nothing
    # Guards against accepting a configuration that the platform may lose.
    Given 4 instances with seed 14 that have run for 10 s
    When the platform is down for 5 s
    And "b" is asked to select "peak"
    And 8 s pass
    Then the change is refused with code platform_unavailable and ran not_run
    And the preset "ordinary" is in force on every instance

  Scenario: An isolated instance loses authority and the others keep it
    # Guards against an isolated instance that admits work with old rules.
    Given 4 instances with seed 15 that have run for 10 s
    When "a" is isolated
    And 3.1 s pass
    Then "a" has no authority
    And "b", "c", "d" have authority

  Scenario: A majority keeps authority during a long outage of the platform
    # Guards against an outage of the platform that stops all work.
    Given 4 instances with seed 16 that have run for 10 s
    When the platform is down for 120 s
    Then "a", "b", "c", "d" have authority
    When "d" is isolated
    And 30 s pass
    Then "d" has no authority
    And "a", "b", "c" have authority
    And the view has epoch unchanged

  Scenario: A paused instance wakes without authority
    # Guards against a process that resumes with a lapsed lease, and against
    # answers from before the pause that extend it.
    Given 4 instances with seed 17 that have run for 10 s
    When "a" is paused for 3.1 s
    And "a" wakes
    Then "a" has no authority

  Scenario: An instance that was removed joins again as a new incarnation
    # Guards against an old incarnation that keeps its seats and shares.
    Given 4 instances with seed 18 that have run for 10 s
    When "a" is paused for 16 s
    And "a" wakes
    And 10 s pass
    Then the view has 4 members and "a" has a new incarnation

  Scenario: A whole fleet that was killed starts again
    # Guards against a change quorum that waits for dead members for ever.
    Given 4 instances with seed 19 that have run for 10 s
    When every instance is killed and started again
    And 20 s pass
    Then "a", "b", "c", "d" have authority

  Scenario: Shares and connections never overlap under random faults
    # Guards against two instances that hold the same share of a rate, or
    # together more connections than a member accepts, while views change, and
    # against a fleet that does not recover when the faults have ended.
    Then no random schedule of faults makes shares or connections overlap

  Scenario: A lagging list of instances does not matter
    # Guards against decisions that depend on the platform's lagging list.
    Given 4 instances with seed 20 that have run for 10 s
    When "a" is killed
    And 25 s pass
    Then the view has 3 members
    And the instances made no call but those to the table

  Scenario: A configuration reaches everyone and never reverts
    # Guards against an instance that applies an older configuration late.
    Given 4 instances with seed 21 that have run for 10 s
    When 6 changes of preset are made one after the other on different instances
    And "c" gets a push of the oldest configuration
    And 2 s pass
    Then the preset "maintenance" is in force on every instance
    And no instance ever went back to an older configuration

  Scenario: A planned stop passes the seats on before it leaves the view
    # Guards against a stop that cuts requests by leaving too early, and against
    # shares that stay unused after it.
    Given 4 instances with seed 22 that have run for 10 s
    When "a" is asked to stop
    And 3 s pass
    Then the view has 4 members
    And "a" has an active seat nowhere and "a" has authority
    And every database has one active seat
    When "a" may leave the view
    And 3 s pass
    Then the view has 3 members

  Scenario: An operator expects a version that has not reached the instance
    # Guards against a lost race that is reported because a push was lost.
    Given 4 instances with seed 27 that have run for 10 s
    When "a" is asked to select "peak" while it cannot reach its peers
    And "b" is asked to select "maintenance" with expected version 2
    And 2 s pass
    Then the preset "maintenance" is in force on every instance

  Scenario: A member that promised a change vouches no more
    # Guards against a removed instance that keeps authority through a member
    # which promised its removal and then lost the platform.
    Given 4 instances with seed 23 that have run for 10 s
    When "b" is asked by "c" to promise a change of the view
    Then "b" does not vouch for "a"

  Scenario: A later promise does not bring back an instance's own vouch
    # Guards against a vouch quorum that counts the instance itself until its
    # promise for a later epoch, although it promised for its own before.
    Given 4 instances with seed 43 that have run for 10 s
    When "b" promises to change its epoch and 1 s later to change the next one
    Then with 2 vouches "b" has authority for 2 s and no longer

  Scenario: A member promises nothing while the platform is down
    # Guards against a promise that takes authority away during an outage.
    Given 4 instances with seed 24 that have run for 10 s
    When the platform is down for 5 s
    And "b" is asked by "c" to promise a change of the view
    Then "b" does vouch for "a"

  Scenario: A vouch counts from before the question
    # Guards against authority that a delayed answer extends.
    Given 4 instances with seed 25 that have run for 10 s
    When the platform is down for 4 s
    And "a" gets 3 vouches that were asked for 2 s ago
    Then "a" has less than 1.01 s of authority left

  Scenario: An instance that missed an epoch settles by time only
    # Guards against a share taken from a member that only the missed epoch had.
    Given 4 instances with seed 26 that have run for 10 s
    When "a" is shown a view two epochs later in which it hears everyone
    Then "a" has not settled the view
    When 3.4 s pass on "a" alone
    Then "a" has settled the view

  Scenario: An instance that skips an epoch counts its share in that epoch
    # Guards against a share taken from a member that only the skipped epoch had:
    # "a" knows the epochs before and after, "c" still holds a third in between.
    Given 2 instances with seed 28 that have run for 10 s
    When "a" is isolated
    And "c" is started
    And 6 s pass
    And "c" leaves the view and is isolated when the platform shows it
    And "a" is connected again
    Then the shares stay within the whole for 8 s
    And "a", "b" have authority

  Scenario: A row that does not reach back leaves no share until time has passed
    # Guards against a share in epochs that nobody can know any more.
    Given 4 instances with seed 29 that have run for 10 s
    When "a" is shown a view 20 epochs later whose row carries 16 epochs
    Then "a" has a share of 0 and has not settled the view by hearing everyone
    When 3.4 s pass on "a" alone
    Then "a" has settled the view

  Scenario: The row of the view gives back the earlier views
    # Guards against an earlier view that is rebuilt with the wrong members.
    Then 20 random changes of 8 members are read back as the last 17 views

  Scenario: The decisions about the view keep step with the specification
    # Guards against decisions that differ from the model that was checked.
    Then the decisions and the model of the view agree after every step

  Scenario: The decisions about a withdrawal keep step with the specification
    # Guards against a withdrawal that is reported where the model would not.
    Then the decisions and the model of a withdrawal agree after every step

  Scenario: The decisions load without an event loop
    # Guards against decisions that a model checker cannot drive.
    Then the control decisions import neither trio nor a codec

  Scenario: The decisions about the configuration keep step with the specification
    # Guards against decisions that drift away from the model that was checked.
    Then the decisions and the model of the configuration agree after every step
