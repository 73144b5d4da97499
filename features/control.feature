Feature: Control decisions of the instances
  View, authority, ownership, configuration and withdrawals stay correct under faults.

  Scenario Outline: Two operators select presets at once and one answer is lost
    # Guards against two active presets, against a return to an earlier preset, and
    # against a change that is reported as lost, or stored twice, because the answer
    # to its write was lost.
    Given 4 instances with seed <seed> that have run for 10 s
    When the answers to the writes of "a" are lost
    And "a" is asked at the same time to select "peak" and "b" to select "maintenance"
    And 8 s pass
    Then one operator gets a success and the other one both versions
    And the preset of the successful operator is active on every instance
    And no instance ever went back to an older configuration

    Examples:
      | seed |
      | 11   |
      | 31   |
      | 32   |
      | 33   |
      | 34   |

  Scenario Outline: The write id of its version decides whether a change was stored
    # Guards against a stored change that is reported as a version conflict because
    # later changes replaced its write id, and against a guess when the row no
    # longer holds the id.
    Given 4 instances with seed 35 that have run for 10 s
    When the answers to the writes of "a" are lost
    And "a" is asked to select "peak"
    And the platform stores the change of "a" and <later> later changes
    And 4 s pass
    Then the operator's outcome is "<outcome>"

    Examples:
      | later | outcome         |
      | 0     | stored          |
      | 1     | stored          |
      | 31    | stored          |
      | 32    | outcome_unknown |
      | 40    | outcome_unknown |

  Scenario Outline: A conflict reported to a resent write is read back
    # Guards against a change that is refused although the platform still holds the
    # version that it expects, and against a change that is reported as lost because
    # an earlier copy of its own write was stored first.
    Given 4 instances with seed 36 that have run for 10 s
    When "a" is asked to select "peak"
    And the write of "a" gets a conflict and the platform holds <row>
    And 4 s pass
    Then the operator's outcome is "<outcome>"

    Examples:
      | row                  | outcome   |
      | the expected version | stored    |
      | its own earlier copy | stored    |
      | another change       | lost race |

  Scenario: A key is withdrawn while the platform is down
    # Guards against a withdrawn key that is still accepted, and against a withdrawal
    # that is lost, because the platform cannot store it.
    Given 4 instances with seed 12 that have run for 10 s
    And a key "k1" of workspace "branch"
    When the platform is down for 5 s
    And "a" is asked to withdraw "k1"
    And 1 s pass
    Then the withdrawal is answered with state "in_force" and is not stored
    And every instance refuses "k1"
    When the platform is up again for 5 s
    Then the platform shows "k1" as withdrawn

  Scenario: A withdrawal that no peer confirms is reported as pending
    # Guards against a withdrawal that is reported in force although only one
    # instance applies it.
    Given 4 instances with seed 13 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "a" is isolated
    And 2 s pass
    And "a" is asked to withdraw "k1"
    And 2 s pass
    Then the withdrawal is answered with state "pending" and is not stored
    When all faults end
    And 15 s pass
    Then the platform shows "k1" as withdrawn

  Scenario: Confirmations without the platform do not put a withdrawal in force
    # Guards against a key that is accepted by an instance that is partitioned from
    # its peers and keeps its authority by reading the platform.
    Given 4 instances with seed 37 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "a" cannot reach the platform
    And "d" cannot reach its peers
    And "a" is asked to withdraw "k1"
    Then for 8 s no authority accepts "k1" 3 s after it was reported in force
    And the withdrawal is answered with state "pending" and is not stored

  Scenario: The platform without confirmations does not put a withdrawal in force
    # Guards against a key that is accepted by a majority that is partitioned from
    # the platform and keeps its authority by votes.
    Given 4 instances with seed 38 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "b", "c", "d" cannot reach the platform
    And "a" cannot reach its peers
    And "a" is asked to withdraw "k1"
    Then for 8 s no authority accepts "k1" 3 s after it was reported in force
    And the withdrawal is answered with state "pending" and is stored

  Scenario: A withdrawal that is stored and confirmed by a quorum is in force
    # Guards against a withdrawal that waits for an isolated instance.
    Given 4 instances with seed 39 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "d" is isolated
    And "a" is asked to withdraw "k1"
    Then for 8 s no authority accepts "k1" 3 s after it was reported in force
    And the withdrawal is answered with state "in_force" and is stored

  Scenario: A member that promised a change does not confirm a withdrawal
    # Guards against a confirmation of a withdrawal that the next view is stored
    # without.
    Given 4 instances with seed 40 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "b" is asked by "c" to promise a change of the view
    Then "b" does not confirm the withdrawal of "k1" in its epoch

  Scenario: A view change stores the withdrawals of the members that promised
    # Guards against a new view whose members read the platform and don't find a
    # withdrawal that the members of the old view confirmed.
    Given 4 instances with seed 41 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "a" cannot reach the platform
    And "a" is asked to withdraw "k1"
    And 0.2 s pass
    And "e" is started
    And the platform shows the next view
    Then the platform shows "k1" as withdrawn at the same time

  Scenario: A vote carries the withdrawals that its sender knows of
    # Guards against an instance that keeps its authority by the vote of a member
    # whose separate message about the withdrawal was lost.
    Given 4 instances with seed 42 that have run for 10 s
    And a key "k1" of workspace "branch"
    When "d" receives only heartbeat answers
    And "a" cannot reach the platform
    And "a" is asked to withdraw "k1"
    And 1 s pass
    Then "d" refuses "k1"

  Scenario: A withdrawn key is refused under every partition
    # Guards against a withdrawal that is reported in force although an instance
    # that keeps its authority, or a later view, does not include it.
    Then a withdrawn key is accepted in none of 80 schedules of partitions

  Scenario: A change during an outage is refused and loses nothing
    # Guards against accepting a configuration that the platform may lose.
    Given 4 instances with seed 14 that have run for 10 s
    When the platform is down for 5 s
    And "b" is asked to select "peak"
    And 8 s pass
    Then the change is refused with code platform_unavailable and ran not_run
    And the preset "ordinary" is active on every instance

  Scenario: An isolated instance loses authority and the others keep it
    # Guards against an isolated instance that admits work under an old configuration.
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
    # Guards against a process that resumes with expired authority, and against
    # votes from before the pause that extend it.
    Given 4 instances with seed 17 that have run for 10 s
    When "a" is paused for 3.1 s
    And "a" wakes
    Then "a" has no authority

  Scenario: An instance that was removed joins again as a new incarnation
    # Guards against an old incarnation that keeps its ranks and shares.
    Given 4 instances with seed 18 that have run for 10 s
    When "a" is paused for 16 s
    And "a" wakes
    And 10 s pass
    Then the view has 4 members and "a" has a new incarnation

  Scenario: All instances are killed and start again
    # Guards against a view change quorum that waits forever for dead members.
    Given 4 instances with seed 19 that have run for 10 s
    When every instance is killed and started again
    And 20 s pass
    Then "a", "b", "c", "d" have authority

  Scenario: Shares and connections never overlap under random faults
    # Guards against instances that use the same share of a rate, or together have
    # more connections than a member accepts, while views change, and against a
    # fleet that does not recover after the faults.
    Then no random schedule of faults makes shares or connections overlap

  Scenario: The platform's instance list is not read
    # Guards against decisions that depend on the instance list, which lags.
    Given 4 instances with seed 20 that have run for 10 s
    When "a" is killed
    And 25 s pass
    Then the view has 3 members
    And the instances have called only the table service

  Scenario: A configuration reaches everyone and never reverts
    # Guards against an instance that applies an older configuration after a newer one.
    Given 4 instances with seed 21 that have run for 10 s
    When 6 changes of preset are made one after the other on different instances
    And "c" gets a push of the oldest configuration
    And 2 s pass
    Then the preset "maintenance" is active on every instance
    And no instance ever went back to an older configuration

  Scenario: An instance that was cut off gets the last of several changes
    # Guards against an instance that uses one of the versions that it has missed, and
    # counts it as the newest one.
    Given 4 instances with seed 28 that have run for 10 s
    When "c" is isolated
    And "a" selects peak, ordinary and maintenance one after the other
    And all faults end
    And 3 s pass
    Then the preset "maintenance" is active on every instance
    And no instance ever went back to an older configuration

  Scenario: A graceful shutdown transfers ownership before the view changes
    # Guards against a shutdown that aborts requests because the instance leaves the
    # view too early, and against shares that remain unused afterwards.
    Given 4 instances with seed 22 that have run for 10 s
    When "a" begins a graceful shutdown
    And 3 s pass
    Then the view has 4 members
    And "a" is an active owner nowhere and "a" has authority
    And every database has one active owner
    When "a" may leave the view
    And 3 s pass
    Then the view has 3 members

  Scenario: An operator expects a version that has not reached the instance
    # Guards against a version conflict that is reported because a push was lost.
    Given 4 instances with seed 27 that have run for 10 s
    When "a" is asked to select "peak" while it cannot reach its peers
    And "b" is asked to select "maintenance" with expected version 2
    And 2 s pass
    Then the preset "maintenance" is active on every instance

  Scenario: A member that promised a change votes no more
    # Guards against a removed instance that keeps authority by the vote of a member
    # that promised its removal and can then no longer reach the platform.
    Given 4 instances with seed 23 that have run for 10 s
    When "b" is asked by "c" to promise a change of the view
    Then "b" does not vote for "a"

  Scenario: A later promise does not renew an instance's own vote
    # Guards against a vote quorum that counts the instance itself until its promise
    # for a later epoch, although it promised for its own epoch earlier.
    Given 4 instances with seed 43 that have run for 10 s
    When "b" promises to change its epoch and 1 s later to change the next one
    Then with 2 votes "b" has authority for 2 s and no longer

  Scenario: A member promises nothing while the platform is down
    # Guards against a promise that ends authority during an outage.
    Given 4 instances with seed 24 that have run for 10 s
    When the platform is down for 5 s
    And "b" is asked by "c" to promise a change of the view
    Then "b" does vote for "a"

  Scenario: A vote counts from the time at which the heartbeat was sent
    # Guards against a delayed answer that extends authority.
    Given 4 instances with seed 25 that have run for 10 s
    When the platform is down for 4 s
    And "a" gets 3 votes for a heartbeat sent 2 s ago
    Then "a" has less than 1.01 s of authority left

  Scenario: An instance that missed an epoch settles the view only by time
    # Guards against the use of a share of a member that was only in the missed epoch.
    Given 4 instances with seed 26 that have run for 10 s
    When "a" adopts a view two epochs later and has contact with every member
    Then "a" has not settled the view
    When 3.4 s pass on "a" alone
    Then "a" has settled the view

  Scenario: An instance that skips an epoch counts its share in that epoch
    # Guards against the use of a share of a member that was only in the skipped
    # epoch: "a" knows the epochs before and after it, and "c" still uses a third of
    # the rate by the epoch in between.
    Given 2 instances with seed 28 that have run for 10 s
    When "a" is isolated
    And "c" is started
    And 6 s pass
    And "c" leaves the view and is isolated when the platform shows it
    And "a" is connected again
    Then the shares stay within the total for 8 s
    And "a", "b" have authority

  Scenario: A row that does not reach back leaves no share until time has passed
    # Guards against a share by epochs whose views are no longer stored.
    Given 4 instances with seed 29 that have run for 10 s
    When "a" adopts a view 20 epochs later from a row with 16 epochs
    Then "a" has a share of 0 and has not settled the view by contact
    When 3.4 s pass on "a" alone
    Then "a" has settled the view

  Scenario: The earlier views are decoded from the row of the view
    # Guards against an earlier view that is decoded with the wrong members.
    Then 20 random changes of 8 members are read back as the last 17 views

  Scenario: The decisions about the view match the specification
    # Guards against decisions that differ from the model that was checked.
    Then the decisions and the model of the view agree after every step

  Scenario: The decisions about a withdrawal match the specification
    # Guards against a withdrawal that is reported in force where the model does not.
    Then the decisions and the model of a withdrawal agree after every step

  Scenario: The decisions load without an event loop
    # Guards against decisions that a model checker cannot drive.
    Then the control decisions import neither trio nor a codec

  Scenario: The decisions about the configuration match the specification
    # Guards against decisions that differ from the model that was checked.
    Then the decisions and the model of the configuration agree after every step
