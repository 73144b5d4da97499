Feature: Session tokens and batches at the gateway

  Scenario: A token that holds the position of an answer comes back as it was
    # Guards against signing for each answer, and against a token that loses its
    # position.
    Given a gateway whose owner answers at position 5
    When a caller reads with a token at position 5
    Then its token is unchanged

  Scenario: A later position goes into the token
    # Guards against a caller that does not see its own write afterwards.
    Given a gateway whose owner answers at position 5
    When a caller reads with a token at position 4
    Then its token holds position 5

  Scenario: An earlier position does not replace a later one
    # Guards against a token that goes back when a replica behind answers.
    Given a gateway whose owner answers at position 5
    When a caller reads with a token at position 6
    Then its token holds position 6

  Scenario: A first answer makes a token
    # Guards against a reader without token that never gets one.
    Given a gateway whose owner answers at position 5
    When a caller reads without a token
    Then its token holds position 5

  Scenario: Many requests that arrive at once are all answered
    # Guards against events that the gateway leaves in its inbox after a batch.
    Given a gateway whose owner answers at position 5
    When 100 callers read at once
    Then each of them has its answer
