Feature: The bench tells policies apart

  Scenario Outline: A capacity is shared out by max-min fairness
    # Guards against a fair share that grows with what a flooding workspace asks.
    When demands of <demands> share a capacity of <capacity>
    Then the fair shares are <shares>

    Examples:
      | demands     | capacity | shares     |
      | 10, 10, 80  | 60       | 10, 10, 40 |
      | 10, 50, 80  | 60       | 10, 25, 25 |
      | 10, 10, 10  | 60       | 10, 10, 10 |

  Scenario: A window above the limit is found
    # Guards against a check of the rate limit that sees only whole seconds.
    When 40 requests are admitted between 0.9 s and 1.1 s
    Then a limit of 20/s with a burst of 10 is exceeded by 26 requests
    And a limit of 200/s with a burst of 20 is kept

  Scenario: A refusal within the rate is told from one above it
    # Guards against counting a flood's refusals as wrong.
    When 8 requests arrive at once and the first and the last are refused
    Then with a burst of 5 one refusal was within the rate

  Scenario: Callers can favour an instance
    # Guards against a skewed load that is spread evenly.
    When callers weight three instances with 3, 1 and 0
    Then their calls go to the first, first, first and second

  Scenario: A read that lacks an old write counts as too old
    # Guards against an age check that accepts any answer.
    Given an instance that always answers with number 0
    When the bench checks the stated age for 1 s
    Then some reads are too old
