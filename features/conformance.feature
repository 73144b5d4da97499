Feature: The decisions conform to the specification
  The decisions and the models of spec/ take the same actions and stay in the same state.

  Scenario Outline: The <part> take only steps of the model
    # Guards against a decision that departs from the checked protocol.
    Then <runs> runs of <steps> steps of the <part> agree with the model

    Examples:
      | part           | runs | steps |
      | promotions     | 250  | 50    |
      | binding writes | 250  | 40    |
      | sessions       | 200  | 40    |
      | rates          | 150  | 40    |

  Scenario: The acknowledgements take only steps of the model
    # Guards against a rule for a commit, or a reading of a status, that departs from the
    # checked one: a promotion then loses acknowledged commits.
    Then the decision on each of 61440 views of a group is that of the model
    And the statuses in 30000 reachable states show a commit as in the model
