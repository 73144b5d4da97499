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
