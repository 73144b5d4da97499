Feature: Changes of the configuration
  A change gives a new document or a sentence that says what is wrong.

  Scenario Outline: Overrides outside the bounds are refused
    # Guards against a branch that overrides what the head office forbids.
    Given the first configuration with a workspace "branch"
    When the <limit> of "branch" is set to <value>
    Then the change ends with "<outcome>"

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

  Scenario Outline: Limits are clamped when bounds shrink
    # Guards against an override that outlives the bounds it was set within.
    Given the first configuration with a workspace "branch"
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
    Given the first configuration with a workspace "branch"
    When the head office's bounds of the rate become 100 to 10
    Then the change ends with "the default rate 50.0 is below"

  Scenario: Exactly one preset is in force and it is a defined one
    # Guards against selecting a preset that does not exist.
    Given the first configuration with a workspace "branch"
    When the preset "rush" is selected
    Then the change ends with "no preset rush; defined are maintenance, ordinary, peak"
    And the preset in force is "ordinary"
    When the preset "maintenance" is selected
    Then the change ends with "accepted"
    And the preset in force is "maintenance"

  Scenario: Random changes leave the earlier document alone
    # Guards against a refused or lost change that alters the document in force.
    Then random changes never alter the document that they are made from
