Feature: Recorded roster of a group
  The record of the promotion lock names the members that may hold an acknowledged
  commit. A member that has left stays in it until all that it confirmed is elsewhere.

  Scenario Outline: A departed member stays in the roster until its commits are covered
    # Guards against a promotion by an instance that has not seen a member that left, or
    # that has been restarted since (review/1).
    Given a recorded roster "<recorded>" and a lock that <lock>
    When an instance reads lists with "<lists>" while m1 has <end> of 1.9
    Then the recorded roster is "<roster>" and the lock is unchanged

    Examples:
      | recorded    | lock    | lists                | end | roster      |
      | none        | is free | m0,m1,m2             | 1.7 | m0,m1,m2    |
      | m0,m1,m2    | is free | m0,m1                | 1.7 | m0,m1,m2    |
      | m0,m1,m2    | is free | m0,m1                | 1.9 | m0,m1,m2    |
      | m0,m1,m2    | is free | m0,m1;m0,m1          | 1.9 | m0,m1       |
      | none        | is free | m0,m1,m2;m0,m1       | 1.9 | m0,m1       |
      | m0,m1,m2    | is free | m0,m1,m2b            | 1.7 | m0,m1,m2    |
      | m0,m1       | is free | m0,m1,m3             | 1.7 | m0,m1,m3    |
      | m0,m1       | is free | m0,m1,m3;m0,m1       | 1.7 | m0,m1,m3    |
      | none        | is free | m0,m1,m2;m0,m1;m0,m1 | 1.7 | m0,m1,m2    |
      | m0,m1,m2    | is held | m0,m1                | 1.9 | m0,m1,m2    |
      | m0,m1,m2    | is free | m1                   | 1.9 | m0,m1,m2    |

  Scenario Outline: A member whose entry has expired stays in the roster while it answers
    # Guards against a promotion without a replica that can't reach the store (issue 61).
    Given a recorded roster "m0,m1,m2" and a lock that is free
    And m2 <state> after it has left the list
    When an instance reads lists with "m0,m1,m2;m0,m1;m0,m1" while m1 has 1.9 of 1.9
    Then the recorded roster is "<roster>" and the lock is unchanged

    Examples:
      | state                     | roster   |
      | answers                   | m0,m1,m2 |
      | does not answer           | m0,m1    |

  Scenario Outline: A list does not remove members that were recorded after it
    # Guards against a list from before a replica joined: another instance has recorded
    # the replica, which may confirm commits, and an instance with the older list took it
    # for one that has left.
    Given a recorded roster "m0,m1,m2" and a lock that is free
    And the roster "m0,m1,m2,m3" is recorded by another instance after the first list
    When an instance reads lists with "<lists>" while m1 has 1.9 of 1.9
    Then the recorded roster is "<roster>" and the lock is unchanged

    Examples:
      | lists                      | roster      |
      | m0,m1,m2;m0,m1             | m0,m1,m3    |
      | m0,m1,m2;m0,m1;m0,m1,m3    | m0,m1,m3    |
      | m0,m1,m2;m0,m1;m0,m1;m0,m1 | m0,m1       |
