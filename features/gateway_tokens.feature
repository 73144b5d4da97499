Feature: Session tokens and batches at the gateway

  Scenario: A token that contains the position of an answer is returned unchanged
    # Guards against signing a token for each answer, and against a token that loses
    # its position.
    Given a gateway whose owner answers at position 5
    When a caller reads with a token at position 5
    Then its token is unchanged

  Scenario: A later position is added to the token
    # Guards against a caller that does not see its own write afterwards.
    Given a gateway whose owner answers at position 5
    When a caller reads with a token at position 4
    Then its token contains position 5

  Scenario: An earlier position does not replace a later one
    # Guards against a token that moves back when a lagging replica answers.
    Given a gateway whose owner answers at position 5
    When a caller reads with a token at position 6
    Then its token contains position 6

  Scenario: The first answer creates a token
    # Guards against a reader without a token that never receives one.
    Given a gateway whose owner answers at position 5
    When a caller reads without a token
    Then its token contains position 5

  Scenario: Many requests that arrive at once are all answered
    # Guards against events that remain in the inbox of the gateway after a batch.
    Given a gateway whose owner answers at position 5
    When 100 callers read at once
    Then each of them has its answer
