Feature: Rates and bursts across all instances
  No workspace gets more than its rate and burst over all instances together.

  Scenario Outline: No window holds more admissions than burst plus rate over the window
    # Guards against counting a grant twice, and against shares that overlap while an
    # instance is frozen, crashes or joins.
    Given <instances> instances, a rate of <rate> per second and a burst of <burst>
    And an instance is frozen for 2 s, one crashes and one joins
    When the workspace sends <factor> times its rate for 20 s with seed <seed>
    Then no window holds more admissions than the burst plus the rate over the window
    And at least <percent> percent of the rate was admitted

    Examples:
      | instances | rate | burst | factor | seed | percent |
      | 4         | 100  | 20    | 8      | 1    | 60      |
      | 4         | 50   | 7     | 8      | 2    | 60      |
      | 4         | 20   | 2     | 8      | 3    | 60      |
      | 2         | 100  | 10    | 8      | 4    | 40      |
      | 4         | 200  | 4     | 3      | 6    | 20      |

  Scenario Outline: A workspace within its rate is not refused if one instance gets all requests
    # Guards against shares that stay unused at instances without demand.
    Given 4 instances, a rate of 100 per second and a burst of <burst>
    When the workspace sends 0.8 times its rate to one instance for 10 s with seed 5
    Then no request was refused

    Examples:
      | burst |
      | 20    |
      | 40    |

  Scenario: The first requests of a workspace can use its burst
    # Guards against a bucket that is empty at the first request, which is then delayed
    # or refused although the workspace is within its rate.
    Given an instance alone in its view, with a rate of 10/s and a burst of 5
    When 5 requests arrive 1 s after the instance received the workspace
    Then 5 requests are admitted at once

  Scenario: A joining instance gets no tokens for the time before it has a share
    # Guards against a refill with the new share for the time in which the share was 0.
    Given an instance that is new in its view, with a rate of 10/s and a burst of 5
    When the view is settled after 3 s and 5 requests arrive
    Then 0 requests are admitted at once

  Scenario: A grant that arrives after its deadline is discarded
    # Guards against an instance that was paused and then uses a grant that the granting
    # peer no longer counts.
    Given a request that waits for a peer's grant
    When the grant arrives 0.1 s after the spend request
    Then the grant admits nothing
