Feature: Acknowledged commits are compared with the log of a new primary
  A lost commit is found in the logs of the instance that has seen it acknowledged.

  Scenario Outline: Positions that an instance sees around a promotion
    # Guards against a lost commit that no log shows, and against a false alarm: w is a
    # confirmed write, whose answer may show commits that are not confirmed; r is a
    # read; each is sent after the one before it was answered unless it has a +.
    When an instance sees the positions "<positions>"
    Then commits are reported missing <count> times

    Examples: lost
      | positions                   | count |
      | r3.100 w3.101 r4.100        | 1     |
      | r3.100 w3.101 w3.103 w4.101 | 1     |
      | r3.100 w3.105 r4.100        | 1     |
      | r3.100 w3.101 r4.90 r4.91   | 1     |
      | r3.100 w3.101 w5.100        | 1     |

    Examples: lost, acknowledged by the former primary after the promotion
      | positions             | count |
      | r3.100 r4.100 w3.101  | 1     |

    Examples: not lost
      | positions                    | count |
      | r3.100 w3.101 w4.102         | 0     |
      | r3.100 w3.101 r4.101         | 0     |
      | r3.100 r4.99                 | 0     |
      | r3.100 w3.105 r4.101         | 0     |
      | r3.100 w3.101 +w3.109 w4.102 | 0     |
      | w3.101 r4.100                | 0     |
      | r3.100 w3.101 r3.100 w3.102  | 0     |

    Examples: numbers that start anew
      | positions          | count |
      | r3.100 w3.101 r4.3 | 0     |

  Scenario: The line names the positions
    # Guards against an alarm that names no cause to look for.
    When an instance sees the positions "r3.100 w3.101 r4.100"
    Then the error line says "router: acknowledged commits missing group=g acknowledged=3.101 promoted_end=100 first_seen=4.100"
    And the line of the new term says "router: term changed group=g primary=m4 first_seen=4.100 acknowledged=3.101 shown=3.101"

  Scenario: A promotion names what was compared
    # Guards against promotions whose reasons can't be told apart in the log.
    Given members with the logs "m0=1.9,m1=1.7,m2=1.9" of which "m0" do not answer
    And "leaving" is leaving and the promotion of "m2" was requested earlier
    When the lines of an attempt on an unreachable primary are collected
    Then one line contains "succession: compared group=g primary=m0 member=m2 logs=m1=1.7,m2=1.9 paused=m1,m2 pause_term=2 roster=10.0.0.0:1,10.0.0.1:1,10.0.0.2:1 max_list_age_ms="
    And one line contains "requested_earlier=m2 outstanding=m2"
    And one line contains "succession: replicas paused term=2 requested=m1,m2 answered=m1,m2"

  Scenario Outline: A command without an answer
    # Guards against a late pause, demotion or resume of which no log has a trace.
    When the command "<command>" gets no answer
    Then a warning contains "succession: command not answered command=<line> member=m0 group=g sent=True"

    Examples:
      | command | line                      |
      | pause   | PauseReplication(term=4)  |
      | demote  | DemotePrimary(term=4)     |
      | resume  | ResumeReplication()       |

  Scenario Outline: A resume without an answer may be executed later if it was sent
    # Guards against releasing the promotion lock before it is executed, and against
    # keeping it because of a replica that can't be reached.
    When a replica is resumed and the command <fate>
    Then the command may still be executed by "<members>"

    Examples:
      | fate           | members |
      | gets no answer | m0      |
      | is not sent    | none    |

  Scenario: A status query without an answer is not logged
    # Guards against lines for each query to a member that is down.
    When the command "status" gets no answer
    Then no warning is written

  Scenario: A replica that is not paused any more
    # Guards against taking a pause that ended without this instance's doing for a
    # member without an answer.
    Given the lines of failovers are collected
    And an attempt during which an earlier request promotes "m1"
    Then a warning contains "succession: replica not paused any more member=m1 claims_primary=True"

  Scenario: An attempt names its fence and the requests that it ended
    # Guards against a promotion of which no log tells who went on acknowledging, and
    # against a request that disappears from the record without a reason.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=99"
    And outstanding requests "m2" from before
    And only other instances reach "m0"
    When the lines of an attempt on an unreachable primary are collected
    Then one line contains "succession: fence group=g token=2 instances=3 confirmed=2 waited_ms=2500 missing=i3"
    And one line contains "succession: requests ended group=g members=m2 by=effect of m2"

  Scenario: A line names the members that a list is the first to name or to lack
    # Guards against a loss whose log does not tell since when a member was listed.
    When the lists of members name "m0,m1", "m0,m1" and "m0,m2"
    Then one line contains "added=m0@10.0.0.0:1,m1@10.0.0.1:1 removed=none members=2"
    And one line contains "added=m2@10.0.0.2:1 removed=m1 members=2"
