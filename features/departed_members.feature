Feature: Members that have left the list and go on confirming
  The entry of a member that can't reach the store expires, although the member lives.

  Scenario Outline: A replica that answers without an entry is compared
    # Guards against a promotion without the log of a replica whose entry has expired.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And logs that end at "<logs>"
    And m3 has left the list and <state>
    When a fenced attempt is made on a primary that is unreachable
    Then the promoted member is "<promoted>"
    And "<paused>" were paused in this order

    Examples:
      | logs                     | state                    | promoted | paused   |
      | m0=10,m1=9,m2=9,m3=10    | answers                  | none     | m3,m1,m2 |
      | m0=10,m1=10,m2=9,m3=10   | answers                  | m1       | m3,m1,m2 |
      | m0=10,m1=9,m2=9,m3=9     | answers                  | m1       | m3,m1,m2 |
      | m0=10,m1=9,m2=9,m3=10    | does not answer          | m1       | m1,m2    |
      | m0=10,m1=9,m2=9,m3=10    | claims to be the primary | m1       | m1,m2    |

  Scenario Outline: An unlisted replica counts beside a primary that is demoted
    # Guards against a demoted primary that is replaced by a log which an unlisted replica
    # is ahead of, and against one that stays paused.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And logs that end at "<logs>"
    And m3 has left the list and answers
    When a fenced attempt is made on a primary that <trouble>
    Then the promoted member is "<promoted>"
    And "m3,m1,m2" were paused in this order

    Examples:
      | trouble                 | logs                   | promoted |
      | only others reach       | m0=10,m1=9,m2=9,m3=10  | m0       |
      | only others reach       | m0=10,m1=10,m2=9,m3=10 | m1       |
      | gets no write confirmed | m0=10,m1=9,m2=9,m3=10  | m0       |
      | gets no write confirmed | m0=10,m1=9,m2=9,m3=9   | m1       |

  Scenario: Replicas are resumed if only an unlisted one has the newest commits
    # Guards against replicas that never receive what the unlisted one has.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And logs that end at "m0=10,m1=9,m2=9,m3=10"
    And m3 has left the list and answers
    When a fenced attempt is made on a primary that is unreachable
    Then the promoted member is "none"
    And no replica rests paused

  Scenario: The limit for missing logs holds beside an unlisted replica
    # Guards against a group without a primary although the settings prefer one.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And logs that end at "m0=10,m1=9,m2=9,m3=10"
    And settings that limit the wait for missing logs to 2 s
    And m3 has left the list and answers
    When a fenced attempt is made on a primary that is unreachable
    And another one is made 3 s later
    Then the promoted members are "m1"

  Scenario Outline: How long an attempt waits for members that have left
    # Guards against a slow failover after each departure, and against an answer that is
    # dropped because another step of the attempt took longer.
    Given departed members of which m3 answers after <answer> s and m4 never
    When the answers are asked for after <asked> s
    Then "<members>" have answered after <seconds> s

    Examples:
      | answer | asked | members | seconds |
      | 0.01   | 0.0   | m3      | 0.15    |
      | 0.01   | 0.3   | m3      | 0.3     |
      | 0.2    | 0.0   | none    | 0.15    |
      | 0.2    | 0.3   | m3      | 0.3     |

  Scenario Outline: Which members may still confirm
    # Guards against a member that is forgotten with its entry, and against an attempt
    # that waits for one whose address another uses.
    Given a list of "<first>" at 0 s
    When a list of "<second>" is read at <seconds> s
    Then the departed members are "<departed>"

    Examples:
      | first    | second       | seconds | departed |
      | m0,m1,m2 | m0,m1        | 1       | m2       |
      | m0,m1,m2 | m0,m1,m2     | 1       | none     |
      | m0,m1,m2 | m0,m1,m2b    | 1       | none     |

  Scenario Outline: How long a departed member counts
    # Guards against queries of members that have been gone for long.
    Given a list of "m0,m1,m2" at 0 s
    When a list of "m0,m1" is read at 1 s
    And a list of "<last>" is read at <seconds> s
    Then the departed members are "<departed>"

    Examples:
      | last     | seconds | departed |
      | m0,m1    | 150     | m2       |
      | m0,m1    | 152     | none     |
      | m0,m1,m2 | 2       | none     |

  Scenario Outline: A list is read while the connection to an unlisted replica opens
    # Guards against a replica that counts as silent, so that its log is not compared,
    # because a list without it arrives before it has been queried.
    Given a query of m3, which is not listed, that waits for its connection
    When a list of "<members>" arrives
    Then the query <state>

    Examples:
      | members  | state   |
      | m0,m1    | goes on |
      | m0,m1,m3 | goes on |
