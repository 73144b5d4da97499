Feature: The decisions conform to the specification
  The decisions and the models of spec/ take the same actions and stay in the same state.

  Scenario Outline: The <part> take only steps of the model
    # Guards against a decision that departs from the checked protocol.
    Then <runs> runs of <steps> steps of the <part> agree with the model

    Examples:
      | part  | runs | steps |
      | rates | 150  | 40    |
