Feature: Evidence for a promotion
  A member is promoted only if its log is known to have every acknowledged commit. A
  commit is acknowledged once it is on the primary and on one replica.

  Scenario Outline: A log is complete if one member at most may have more
    # Guards against a promotion past a member whose log is missing: review/1 and 2 lost
    # up to 28 commits. m0b is m0 after a crash, with the same log and another id: in a
    # trial of review/3 its log was taken for missing until 10 s had passed.
    Given the roster "<roster>", the logs "<logs>" and the demoted primary "<demoted>"
    Then the member to promote on it is "<member>"

    Examples:
      | roster      | logs                 | demoted | member |
      | m0,m1,m2    | m1=1.7,m2=1.9        | none    | m2     |
      | m0,m1,m2    | m1=1.7               | none    | none   |
      | m0,m1,m2,m3 | m1=1.7,m2=1.9        | none    | none   |
      | m0,m1,m2    | m0=1.9,m2=2.1        | none    | m2     |
      | m0,m1,m2    | m0b=1.9,m2=1.7       | none    | m0b    |
      | m0,m1,m2,m3 | m0b=1.9,m1=1.7,m2=1.9 | none   | m0b    |
      | m0,m1,m2    | m0=1.9,m1=1.7,m2=1.8 | m0      | m2     |
      | m0,m1,m2,m3 | m0=1.9,m1=1.7,m2=1.8 | m0      | m0     |
      | m0,m1,m2,m3 | m0=1.9,m1=1.9,m2=1.8 | m0      | m1     |

  Scenario: A primary is left alone if a departed replica may have the newest commits
    # Guards against the loss of commits that only a leaving replica had confirmed
    # (review/1): the primary answers and has them.
    Given members with the logs "m0=1.9,m1=1.7,m2=1.7" of which "none" do not answer
    And "m9" has left the group and may have confirmed commits
    When an instance acts on a primary that gets no write confirmed
    Then "none" is promoted and "none" is demoted
    And the last outcome is "only the primary has every commit" and no replica is paused

  Scenario: Replicas that an earlier attempt left paused are resumed
    # Guards against a primary that gets no write confirmed until it fails: of its
    # replicas two rested paused, and it alone had every commit.
    Given members with the logs "m0=1.9,m1=1.7,m2=1.7" of which "none" do not answer
    And "m9" has left the group and may have confirmed commits
    And "m1,m2" are paused and no list of members can be read
    When an instance acts on a primary that gets no write confirmed
    Then "none" is promoted and the replicas "none" rest paused

  Scenario: A replica that joins during an attempt is compared
    # Guards against the loss of commits that a new replica confirms until a promotion
    # takes effect (review/2): the primary was alive and went on acknowledging.
    Given members with the logs "m0=1.9,m1=1.7,m2=1.7" of which "none" do not answer
    And the replica "m3" joins and confirms commits during the attempt
    When an instance acts on a primary that gets no write confirmed
    Then "m3" is promoted and "m0" is demoted

  Scenario: No member is promoted while a primary that answers is not demoted
    # Guards against the same loss (review/2) if the command or its answer is lost: until
    # the promotion takes effect a new replica confirms commits of the primary.
    Given members with the logs "m0=1.9,m1=1.7,m2=1.9" of which "none" do not answer
    And the command to demote "m0" gets no answer
    When an instance acts on a primary that gets no write confirmed
    Then "none" is promoted and "none" is demoted
    And the last outcome is "the primary was not demoted" and no replica is paused

  Scenario: A primary that only other instances reach stops acknowledging
    # Guards against the loss of commits that a replica confirms for a primary which is
    # alive for other instances, before the promotion takes effect (issue 41).
    Given members with the logs "m0=1.9,m1=1.9,m2=1.7" of which "none" do not answer
    And only other instances reach "m0"
    And the primary confirms commits through "m3", which joins after the list
    When an instance acts on a primary that is unreachable
    Then every acknowledged commit is at the promoted member
    And "m1" is promoted and "m0" is demoted

  Scenario: A primary that only other instances reach is demoted before logs are compared
    # Guards against a group without a primary after a replica that joins has confirmed
    # commits of a primary which this instance can't reach.
    Given members with the logs "m0=1.9,m1=1.7,m2=1.7" of which "none" do not answer
    And only other instances reach "m0"
    And the replica "m3" joins and confirms commits during the attempt
    When an instance acts on a primary that is unreachable
    Then "m3" is promoted and "m0" is demoted

  Scenario Outline: A primary that a late request would promote again is left to its peers
    # Guards against the loss of commits that a primary acknowledges after it was demoted
    # through other instances and a late request has promoted it again.
    Given members with the logs "m0=1.9,m1=1.9,m2=1.7" of which "none" do not answer
    And only other instances reach "m0"
    And a record with the request "<ordered>" and outstanding requests "<outstanding>"
    When an instance acts on a primary that is unreachable
    Then "m1" is promoted and "none" is demoted

    Examples:
      | ordered | outstanding |
      | m0      | m0          |
      | m1      | m0,m1       |

  Scenario Outline: A pause is repeated with a higher term until it has an effect
    # Guards against a group that never gets a primary again once the members that know
    # its newest term are gone (review/3).
    Given members with the logs "m0=1.9,m1=1.9,m2=1.7" of which "m0" do not answer
    And the newest term of the group is <term>, which no member reports
    When an instance acts on a primary that is unreachable
    Then "m1" is promoted and "none" is demoted

    Examples:
      | term |
      | 2    |
      | 3    |
      | 60   |

  Scenario Outline: A missing log is waited for as long as it takes
    # Guards against the loss of commits of members that are gone: after 10 s a member was
    # promoted that may have lacked them.
    Given members with the logs "m0=1.9,m1=1.9,m2=1.7" of which "<silent>" do not answer
    And "m9" has left the group and may have confirmed commits
    When instances act for 60 s on a primary that is unreachable
    Then "none" is promoted and "none" is demoted

    Examples:
      | silent |
      | m0     |
      | m0,m2  |

  Scenario Outline: A missing log is not waited for longer than the settings say
    # Guards against both the loss of commits of a member that returns, and a group that
    # never gets a primary because a member is gone for good.
    Given members with the logs "m0=1.9,m1=1.9,m2=1.7" of which "<silent>" do not answer
    And "m9" has left the group and may have confirmed commits
    And settings that limit the wait for missing logs to 10 s
    When instances act for <seconds> s on a primary that is unreachable
    Then "<promoted>" is promoted and "none" is demoted

    Examples:
      | silent | seconds | promoted |
      | m0     | 9       | none     |
      | m0     | 12      | m1       |
      | m0,m2  | 12      | none     |

  Scenario Outline: The wait for a missing log does not depend on who acts
    # Guards against a group that never gets a primary because each instance of a large
    # fleet acquires the lock too seldom to see that the logs have long been missing.
    Given members with the logs "m0=1.9,m1=1.9,m2=1.7" of which "m0" do not answer
    And "m9" has left the group and may have confirmed commits
    And settings that limit the wait for missing logs to 10 s
    When <count> instances act in turn for <seconds> s on an unreachable primary
    Then "<promoted>" is promoted and "none" is demoted

    Examples:
      | count | seconds | promoted |
      | 2     | 9       | none     |
      | 2     | 12      | m1       |
      | 20    | 9       | none     |
      | 20    | 12      | m1       |

  Scenario: A member that was listed in a failed attempt still counts after it is gone
    # Guards against the loss of commits of a replica that crashes with the primary while
    # the record does not name it: because it has just joined, because the store was
    # restored from a copy, or because an instance of an earlier version wrote the record.
    Given members with the logs "m0=1.9,m1=1.7,m2=1.7,m3=1.9" of which "m0,m3" do not answer
    When an instance acts on a primary that is unreachable
    And the members "m0,m3" are gone and another instance acts
    Then "none" is promoted and "none" is demoted

  Scenario Outline: After the wait the most advanced of the remaining logs is taken
    # Guards against the loss of commits that a remaining replica has: with two logs left
    # the choice preferred a staying or an earlier chosen member to the more advanced one.
    Given members with the logs "m1=1.7,m2=1.9" of which "none" do not answer
    And "m9" has left the group and may have confirmed commits
    And "<leaving>" is leaving and the promotion of "<ordered>" was requested earlier
    And settings that limit the wait for missing logs to 10 s
    When instances act for 12 s on a primary that is unreachable
    Then "m2" is promoted and "none" is demoted

    Examples:
      | leaving | ordered |
      | none    | none    |
      | none    | m1      |
      | m2      | none    |

  Scenario: Replicas are resumed also if no request for the primary is answered
    # Guards against a primary that gets no write confirmed while requests for it, which
    # change nothing, are not answered.
    Given members with the logs "m0=1.9,m1=1.7,m2=1.7" of which "none" do not answer
    And a record with the request "m0" and outstanding requests "m0"
    And "m1,m2" are paused and no list of members can be read
    And promotion requests are answered with "unknown,accepted"
    When an instance acts on a primary that gets no write confirmed
    Then "m0" is promoted and the replicas "none" rest paused

  Scenario Outline: A leaving member is promoted while its request may be executed
    # Guards against the loss of commits that it acknowledges after a late request for it,
    # before another member takes over.
    Given members with the logs "m0=1.9,m1=1.9,m2=1.9" of which "m0" do not answer
    And "m2" is leaving and the promotion of "<ordered>" was requested earlier
    When an instance acts on a primary that is unreachable
    Then "<promoted>" is promoted and "none" is demoted

    Examples:
      | ordered | promoted |
      | none    | m1       |
      | m2      | m2       |

  Scenario: A log that ends in a term that never was is ignored
    # Guards against a promotion on a status that can't be true.
    Given members with the logs "m0=1.9,m1=1.7,m2=4.1" of which "m0" do not answer
    When an instance acts on a primary that is unreachable
    Then "none" is promoted and "none" is demoted

  Scenario: Nothing is promoted while two members claim to be the primary
    # Guards against a decision on contradicting reports.
    Given members with the logs "m0=1.9,m1=1.7,m2=1.7" of which "none" do not answer
    And "m2" claims to be the primary too
    When an instance acts on a primary that gets no write confirmed
    Then "none" is promoted and "none" is demoted

  Scenario Outline: Only a requested member is resumed while its request may be executed
    # Guards against the loss of commits that another replica confirms before a request
    # without an answer is executed (spec succession, all-resumed-after-request).
    Given members with the logs "m0=1.9,m1=1.9,m2=1.9" of which "m0" do not answer
    And a record with the request "<ordered>" and outstanding requests "<outstanding>"
    And its lock has expired <age> s ago
    And "m1,m2" are paused and no list of members can be read
    When an instance acts on a primary that is unreachable
    Then "none" is promoted and the replicas "<paused>" rest paused

    Examples:
      | ordered | outstanding  | age | paused |
      | m1      | m1           | 1   | m2     |
      | m1      | m2,m1        | 1   | m1,m2  |
      | m1      | m2,m0        | 1   | m1,m2  |
      | m1      | m1,m1        | 1   | m2     |
      | m1      | none         | 1   | none   |
      | m1      | not recorded | 1   | m2     |
      | m0      | not recorded | 1   | m1,m2  |

    # Guards against a call that is executed after any time that was guessed for it:
    # requests were taken to end after 30 s.
    Examples: requests never end by time alone
      | ordered | outstanding  | age  | paused |
      | m0      | not recorded | 3600 | m1,m2  |
      | m1      | not recorded | 3600 | m2     |
      | m1      | m1           | 3600 | m2     |
      | m1      | m2,m1        | 3600 | m1,m2  |

  Scenario Outline: A primary that a late request would promote again is not demoted
    # Guards against the loss of commits that a demoted primary acknowledges after a late
    # request for it, before another member takes over (LOST 9 in a play).
    Given members with the logs "m0=1.9,m1=1.7,m2=1.7" of which "none" do not answer
    And a record with the request "<ordered>" and outstanding requests "<outstanding>"
    And "m1,m2" are paused and no list of members can be read
    When an instance acts on a primary that gets no write confirmed
    Then "<promoted>" is promoted and "none" is demoted
    And the outstanding requests are "<left>" and the replicas "<paused>" rest paused

    Examples:
      | ordered | outstanding | promoted | left  | paused |
      | m0      | m0          | m0       | none  | none   |
      | m0      | m1,m0       | m0       | none  | none   |
      | m1      | m0,m1       | m0       | none  | none   |
      | m0      | m0,m1,m0    | m0       | none  | none   |

  Scenario Outline: An accepted promotion is outstanding until a member shows its effect
    # Guards against a second promotion before the accepted one has taken effect: it was
    # taken to be in effect 1.5 s after its acceptance at the latest.
    Given members with the logs "m1=1.9,m2=1.9" of which "m0" do not answer
    And a record with the request "m2" and outstanding requests "m2"
    And the promotion lock is held for 3 s
    And accepted promotions take effect after <delay> s
    When an instance acts on a primary that is unreachable
    Then "m2" is promoted and "none" is demoted
    And the outstanding requests are "<left>" and the replicas "m1,m2" rest paused

    Examples:
      | delay | left |
      | 0.6   | none |
      | 2.5   | none |
      | 3.5   | m2   |

  Scenario Outline: An accepted call with an unanswered copy stays on the record
    # Guards against a copy that promotes its member once more, after a demotion, while
    # commits are acknowledged that it lacks.
    Given members with the logs "m1=1.9,m2=1.9" of which "m0" do not answer
    And a record with the request "m2" and outstanding requests "m2"
    And the first <lost> promotion requests get no answer
    When an instance acts on a primary that is unreachable
    Then "m2" is promoted and "none" is demoted
    And the outstanding requests are "<left>" and the replicas "m1,m2" rest paused

    Examples:
      | lost | left |
      | 0    | none |
      | 1    | m2   |
      | 2    | m2   |

  Scenario: Lost answers about the present primary leave time for further requests
    # Guards against requests that stay outstanding because the lock expires while the
    # first calls for the present primary, which change nothing, are waited for. The fence
    # extends the lock to 5.5 s. An unanswered call for the primary itself does no harm
    # before it is demoted.
    Given members with the logs "m0=1.9,m2=1.7" of which "m1" do not answer
    And a record with the request "m1" and outstanding requests "m1"
    And the promotion lock is held for 5.5 s
    And the first 12 promotion requests get no answer
    When an instance acts on a primary that gets no write confirmed
    Then "m0" is promoted and "none" is demoted
    And the outstanding requests are "m0" and the replicas "none" rest paused

  Scenario Outline: Replicas are resumed although the requested member is gone for good
    # Guards against a live primary that never gets a write confirmed again, because an
    # outstanding request names a member that can't be promoted any more. The request of
    # the primary itself withdraws it.
    Given members with the logs "m0=1.9,m2=1.7" of which "m1" do not answer
    And a record with the request "m1" and outstanding requests "<outstanding>"
    And "m2" are paused
    And promotion requests are answered with "<answers>"
    When an instance acts on a primary that gets no write confirmed
    Then "m0" is promoted and "none" is demoted
    And the outstanding requests are "<left>" and the replicas "<paused>" rest paused

    Examples:
      | outstanding  | answers  | left  | paused |
      | m1           | accepted | none  | none   |
      | not recorded | accepted | none  | none   |
      | m1           | rejected | m1    | m2     |
      | m3,m1        | accepted | none  | none   |

  Scenario: Replicas are resumed although the requested member has left the list
    # Guards against the same in a group of four members.
    Given members with the logs "m0=1.9,m2=1.7,m3=1.7" of which "none" do not answer
    And "m1" has left the group and may have confirmed commits
    And a record with the request "m1" and outstanding requests "m1"
    And "m2,m3" are paused
    When an instance acts on a primary that gets no write confirmed
    Then "m0" is promoted and the replicas "none" rest paused

  Scenario: A primary that was requested before another member is replaced in the end
    # Guards against attempts that all end because earlier requests may be executed.
    Given members with the logs "m0=1.9,m2=1.9,m3=1.9" of which "none" do not answer
    And a record with the request "m1" and outstanding requests "m0,m1"
    And "m2,m3" are paused
    When instances act for 60 s on a primary that gets no write confirmed
    Then a replica receives or another member is promoted

  Scenario: A primary that was unreachable for one instance gets its replicas back
    # Guards against a write outage without an end after one attempt of an instance that
    # does not reach the primary, if the requested member then crashes.
    Given members with the logs "m1=1.7,m2=1.7" of which "m0" do not answer
    And a record with the request "m1" and outstanding requests "m1"
    When an instance that can read no list acts, and "m1" crashes
    And "m0=1.9" answers again
    And an instance acts on a primary that gets no write confirmed
    Then "m0" is promoted and the replicas "none" rest paused

  Scenario: A refused request ends no earlier one
    # Guards against an earlier call that is executed after replicas were resumed, as a
    # refusal of the later call says nothing about it.
    Given members with the logs "m0=1.9,m1=1.9,m2=1.9" of which "m0" do not answer
    And a record with the request "m2" and outstanding requests "m2"
    And its lock has expired 20 s ago
    And promotion requests are answered with "rejected"
    When an instance acts on a primary that is unreachable
    Then the outstanding requests are "m2" and the replicas "m1" rest paused

  Scenario Outline: The lock is not released while a replica may still be resumed
    # Guards against a resume that is executed after the next holder's pause: the replica
    # then confirms commits that the compared logs lack.
    Given members with the logs "m0=1.9,m1=1.9,m2=1.9" of which "m0" do not answer
    And "m1,m2" are paused and no list of members can be read
    And the command to resume "<unanswered>" gets no answer
    When an instance acts on a primary that is unreachable
    Then "none" is promoted and the replicas "<paused>" rest paused
    And the lock is <state>

    Examples:
      | unanswered | paused | state    |
      | none       | none   | released |
      | m2         | m2     | held     |

  Scenario: An attempt that leaves the lock to expire counts as lacking logs
    # Guards against a wait for missing logs that begins anew after each attempt.
    Given members with the logs "m0=1.9,m1=1.9,m2=1.7" of which "m0" do not answer
    And "m9" has left the group and may have confirmed commits
    And the command to resume "m2" gets no answer
    And settings that limit the wait for missing logs to 10 s
    When instances act every 3.5 s for 14 s on a primary that is unreachable
    Then "m1" is promoted and "none" is demoted

  Scenario Outline: A request for a primary counts unless it claims to be the primary
    # Guards against a demoted primary that is taken for the present one: a late request
    # for it would be executed after another replica was resumed.
    Given members with the logs "m0=1.9,m1=1.7,m2=1.7" of which "none" do not answer
    And a record with the request "m1" and outstanding requests "m0,m1"
    And "m1,m2" are paused and no list of members can be read
    And "<primary>" is the only member that claims to be the primary
    When an instance acts on a primary that <trouble>
    Then "<promoted>" is promoted and the replicas "<paused>" rest paused

    # A primary that gets no write confirmed is requested again, which ends the requests.
    Examples:
      | primary | trouble                 | promoted | paused |
      | m0      | gets no write confirmed | m0       | none   |
      | none    | gets no write confirmed | none     | m1,m2  |
      | m0      | leaves                  | none     | m2     |
      | none    | leaves                  | none     | m1,m2  |
