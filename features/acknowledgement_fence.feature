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
