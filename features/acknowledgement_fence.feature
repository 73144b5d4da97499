Feature: Fence of acknowledgements at a promotion
  Between the comparison of the logs and the effect of a promotion, no instance
  acknowledges a commit that the promotion can lose.

  Scenario Outline: A state says what its record says about promotions
    # Guards against a commit that is acknowledged although a request may still lose it,
    # and against a group that acknowledges nothing after the holder of its lock has died.
    Given a lock held until 1003.0 by "<holder>" that is suspended "<suspended>"
    And its record has the request "<ordered>" and outstanding requests "<outstanding>"
    When its promotion state is taken at 1002.0 or, if the holder has died, at 1003.5
    Then it is suspended "<is_suspended>" and "<members>" are outstanding

    Examples:
      | holder | suspended | ordered | outstanding | is_suspended | members |
      | i1     | yes       | none    | none        | yes          | none    |
      | dead   | yes       | none    | none        | no           | none    |
      | dead   | yes       | m1      | m0,m1       | no           | m0,m1   |
      | i1     | no        | m1      | none        | no           | none    |
      | i1     | no        | m1      | not known   | no           | m1      |

  Scenario Outline: An announcement is repeated until it is confirmed
    # Guards against an instance that acknowledges by an earlier state because one datagram
    # was lost, and against a promotion that waits for permits for that reason.
    Given registered instances "<instances>" that lose the first announcements
    When a state is announced and confirmations are awaited for 0.3 s
    Then "<missing>" are reported missing after <ms> ms
    And they have been sent "<datagrams>" announcements

    Examples:
      | instances       | missing | ms  | datagrams      |
      | i1=0,i2=0,i3=0  | none    | 4   | i1=1,i2=1,i3=1 |
      | i1=0,i2=0,i3=2  | none    | 104 | i1=1,i2=1,i3=3 |
      | i1=0,i2=0,i3=99 | i3      | 300 | i1=1,i2=1,i3=6 |
      | i1=9,i2=0,i3=0  | i1      | 300 | i1=1,i2=1,i3=1 |
      | i1=0            | none    | 0   | i1=1           |

  Scenario: The state after an attempt is announced once
    # Guards against datagrams that nobody awaits for as long as an instance is gone.
    Given registered instances "i1=0,i2=0,i3=99" that lose the first announcements
    When a state is announced and confirmations are not awaited
    Then they have been sent "i1=1,i2=1,i3=1" announcements
    And none of these asks for a confirmation

  Scenario: A new holder of the lock does not take over a suspension
    # Guards against a group that acknowledges nothing after the holder of its lock has
    # died, for as long as others acquire the lock.
    Given a lock held until 1003.0 by "dead" that is suspended "yes"
    And its record has the request "none" and outstanding requests "none"
    When another instance acquires the lock at 1003.5
    And its promotion state is taken at 1004.0 or, if the holder has died, at 1004.0
    Then it is suspended "no" and "none" are outstanding

  Scenario Outline: Nothing is acknowledged between the comparison and the effect
    # Guards against commits that a replica which nobody paused confirms for a primary
    # that is alive, after the logs were compared (issue 47), and against a comparison
    # without what was acknowledged before a demotion (issue 61).
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And outstanding requests "<outstanding>" from before
    When a fenced attempt is made on a primary that <trouble>
    Then the record was written and calls were made in the order "<order>"
    And "<confirmed>" had confirmed when the logs were compared

    Examples:
      | trouble                 | outstanding | confirmed | order                                                                                             |
      | is unreachable          | none        | i2,i3     | write suspended none; compare; write suspended m1; call m1; write open none                       |
      | is unreachable          | m1          | i2,i3     | write suspended m1; compare; write suspended m1; call m1; write open none                         |
      | only others reach       | none        | i2,i3     | write suspended none; compare; write suspended m1; call m1; write open none                       |
      | only others reach       | m2          | i2,i3     | write suspended m2; compare; write suspended m2; call m2; write open none                         |
      | gets no write confirmed | none        | i2,i3     | write suspended none; compare; write suspended m1; call m1; write open none                       |
      | gets no write confirmed | m2          | i2,i3     | write suspended m2; compare; write suspended m2; call m2; write open none                         |

  Scenario Outline: An instance that does not confirm delays the comparison by its permit
    # Guards against a comparison of logs while a frozen instance, or one that is cut off,
    # may still acknowledge by the state before, and against a lock that expires meanwhile.
    Given a group whose attempts fence acknowledgements at "<instances>"
    And a list of instances that <list>
    When a fenced attempt is made on a primary that is unreachable
    Then the logs are compared after <seconds> s and "m1" is promoted
    And the lock was extended by <seconds> s

    Examples:
      | instances       | list                | seconds |
      | i1=0,i2=0,i3=0  | can be read         | 0.004   |
      | i1=0,i2=0,i3=2  | can be read         | 0.104   |
      | i1=0,i2=0,i3=99 | can be read         | 2.5     |
      | i1=0,i2=0,i3=0  | can't be read       | 2.5     |
      | i1=0,i2=0,i3=0  | has an odd entry    | 2.5     |

  Scenario Outline: Without a complete fence nothing is promoted
    # Guards against a promotion although instances go on acknowledging.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=<lost>"
    And a promotion lock that <lock>
    When a fenced attempt is made on a primary that <trouble>
    Then no call was made and the outcome is "acknowledgements were not fenced"
    And the last state announced is not suspended and has no outstanding requests

    Examples:
      | trouble        | lost | lock                |
      | is unreachable | 0    | can't be written    |
      | leaves         | 0    | can't be written    |
      | is unreachable | 99   | expires in 0 s      |

  Scenario Outline: The end of an attempt is announced
    # Guards against callers that wait for the next read of the store, and against a
    # request that counts as withdrawn although it may be executed.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And calls that are <answers>
    When a fenced attempt is made on a primary that is unreachable
    Then the last state announced is not suspended and has the outstanding requests "<left>"

    Examples:
      | answers                   | left |
      | accepted                  | none |
      | accepted without effect   | m1   |
      | rejected                  | none |
      | never answered            | m1   |

  Scenario: A switchover whose new replica confirms commits
    # Guards against the loss of commits that a replica which joins after the pauses has
    # confirmed: the primary's log was queried before acknowledgements required the member
    # that was promoted.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And the primary confirms a commit through another replica during the fence
    When a fenced attempt is made on a primary that leaves
    Then the record was written and calls were made in the order "write open m1; compare; write open m1; call m1; write open none"
    And every acknowledged commit is at the promoted member
    And "i2,i3" had confirmed when the logs were compared

  Scenario: A switchover that is given up requires no member any more
    # Guards against commits that wait for a member which was never requested.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And no list of members can be read in an attempt
    When a fenced attempt is made on a primary that leaves
    Then the record was written and calls were made in the order "write open m1; compare; write open none"
    And the last state announced is not suspended and has the outstanding requests "none"

  Scenario Outline: Requests are withdrawn when the primary is back
    # Guards against a primary that returns after a crash while a request for another
    # member is outstanding: its replicas rest paused and no write is confirmed.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And outstanding requests "<outstanding>" from before, for which "m1,m2" rest paused
    And calls that are <answers>
    And "<leaders>" claim to be the primary
    When an attempt is made to withdraw requests
    Then the record was written and calls were made in the order "<order>"
    And the outcome is "<outcome>" and "<paused>" rest paused

    Examples:
      | outstanding | leaders | answers                 | outcome                                 | paused | order                                                         |
      | m1          | m0      | accepted                | earlier requests ended member=m0        | none   | compare; write open m1,m0; compare; write open m1,m0; call m0; write open none |
      | m2,m1       | m0      | accepted                | earlier requests ended member=m0        | none   | compare; write open m2,m1,m0; compare; write open m2,m1,m0; call m0; write open none |
      | m1          | m0      | rejected                | promotion rejected member=m0            | m2     | compare; write open m1,m0; compare; write open m1,m0; call m0; write open m1 |
      | m1          | m0      | never answered          | promotion unknown member=m0             | m2     | compare; write open m1,m0; compare; write open m1,m0; call m0; write open m1,m0 |
      | m1          | m0,m1   | accepted                | another member claims to be the primary | m2     | compare; write open m1                                        |
      | m1          | m1      | accepted                | another member claims to be the primary | m2     | compare; write open m1                                        |
      | none        | m0      | accepted                | no request is outstanding               | m1,m2  | write open none                                               |

  Scenario: An earlier request is executed during the fence of a withdrawal
    # Guards against a call that makes a replaced primary lead again: commits of the
    # member that has led since are lost (fault 15 of spec/README.md).
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And outstanding requests "m1" from before, for which "m1,m2" rest paused
    And the request for "m1" is executed during the fence
    When an attempt is made to withdraw requests
    Then no call was made and the outcome is "another member claims to be the primary"
    And the record was written and calls were made in the order "compare; write open m1,m0; compare; write open m1"
    And the last state announced is not suspended and has the outstanding requests "m1"

  Scenario Outline: A request that was accepted just before a withdrawal takes effect
    # Guards against commits that are acknowledged through any replica because the request
    # counts as ended, although the platform executes it some hundred milliseconds later.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And outstanding requests "m1" from before, for which "m1,m2" rest paused
    And the request for "m1" is executed <delay> s after the next call
    When an attempt is made to withdraw requests
    Then the outcome is "promotion accepted member=m0" and "m2" rest paused
    And the last state announced is not suspended and has the outstanding requests "m1,m0"

    Examples:
      | delay |
      | 0.6   |
      | 1.4   |

  Scenario Outline: A trigger says whether its group needs a fence
    # Guards against promotions that fence nothing although instances acknowledge by the
    # promotion state, and against a wait of 2.5 s in groups that do not use it.
    Given a router that knows a configuration in which the group has <replicas> synchronous replicas
    When its list of members names no primary
    Then its trigger says that the promotion fences acknowledgements: <fences>

    Examples:
      | replicas | fences |
      | 0        | no     |
      | 1        | yes    |
      | unknown  | yes    |
