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
