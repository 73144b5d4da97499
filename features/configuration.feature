Feature: Changes of the configuration
  A change results in a new document or in a refusal that says what is wrong.

  Scenario Outline: Overrides outside the bounds are refused
    # Guards against a branch that overrides a limit beyond the head office's bounds.
    Given the initial configuration with a workspace "branch"
    When the <limit> of "branch" is set to <value>
    Then the result of the change is "<outcome>"

    Examples:
      | limit  | value  | outcome                                                   |
      | rate   | 1000   | accepted                                                  |
      | rate   | 1000.5 | rate 1000.5 is above the head office's highest rate of    |
      | rate   | 0.5    | rate 0.5 is below the head office's lowest rate of 1.0    |
      | burst  | 2001   | burst 2001 is above the head office's highest burst of    |
      | weight | 0.05   | weight 0.05 is below the head office's lowest weight of   |
      | weight | 10     | accepted                                                  |
      | rate   | nan    | rate must be a finite number above 0                      |
      | rate   | -1     | rate must be a finite number above 0                      |

  Scenario Outline: Limits are clamped when the bounds are narrowed
    # Guards against an override that stays effective outside of narrower bounds.
    Given the initial configuration with a workspace "branch"
    When the rate of "branch" is set to <rate>
    And the head office's bounds of the rate become <lowest> to <highest>
    Then the rate that applies to "branch" is <effective>
    And the burst that applies to "branch" is the default

    Examples:
      | rate | lowest | highest | effective |
      | 500  | 1      | 100     | 100       |
      | 2    | 10     | 100     | 10        |
      | 60   | 10     | 100     | 60        |

  Scenario: Rules that contradict each other are refused
    # Guards against bounds that no override can satisfy.
    Given the initial configuration with a workspace "branch"
    When the head office's bounds of the rate become 100 to 10
    Then the result of the change is "the default rate 50.0 is below"

  Scenario: Exactly one preset is active and it is defined
    # Guards against selecting a preset that does not exist.
    Given the initial configuration with a workspace "branch"
    When the preset "rush" is selected
    Then the result of the change is "no preset rush; defined are maintenance, ordinary, peak"
    And the active preset is "ordinary"
    When the preset "maintenance" is selected
    Then the result of the change is "accepted"
    And the active preset is "maintenance"

  Scenario: Random changes do not modify the earlier document
    # Guards against a change that modifies the current document although it is
    # refused or not stored.
    Then random changes never modify the document that they are based on
