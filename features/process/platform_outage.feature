@fleet
Feature: The platform is down or loses answers, and operators make concurrent changes
  Runs real processes: four entry instances, two databases of three members each, and
  one platform.

  Scenario: A primary fails while the platform is down
    # Promise replaced-primary; section 6: promotions continue without the platform.
    # Guards against a failover that waits for the platform.
    Given callers claim packets in swap1 through all instances
    And the platform is down
    When the primary of swap1 is frozen
    Then another member of swap1 becomes primary
    When the platform is up again
    Then the platform's row of swap1 names the new primary within seconds
    When the old primary of swap1 resumes and the callers stop
    Then the members of swap1 agree on one log that contains every acknowledged claim once
    And no claim refused as not run is in any log of swap1

  Scenario: A key is withdrawn while the platform is down
    # Promise withdrawn-key. Guards against a withdrawal that waits for the platform
    # and against one that is forgotten before it is stored.
    Given callers with a key of their own keep two slow connections to each instance busy
    And the platform is down
    When an operator withdraws the key at entry-2
    Then every instance refuses the key within seconds
    And no member runs a request with the key from then on
    When the platform is up again
    Then every instance shows the withdrawal as stored within seconds

  Scenario: A withdrawal is not reported in force too early while the platform is down
    # Promise withdrawn-key. Guards against the answer "in force" after two
    # confirmations without the platform, which a majority that is partitioned from
    # both would contradict.
    Given callers with a key of their own keep two slow connections to each instance busy
    And the platform is down
    When an operator withdraws the key at entry-2
    Then the answer reports in force only if every instance has confirmed the withdrawal

  Scenario: A preset change is refused while the platform is down
    # Promise configuration. Guards against a change that is refused and applied
    # nevertheless, or that is applied only at some instances.
    Given the configurations of all instances are watched
    And the platform is down
    When an operator selects peak at entry-1 and rush at entry-2 before the platform is up
    Then the same preset is selected everywhere and agrees with the operators' answers
    And no instance returned to an older configuration

  Scenario: The answer to a preset change is lost
    # Promise configuration. Guards against a stored change that is reported as not
    # applied, or that is applied twice.
    Given the configurations of all instances are watched
    And the platform loses the answers to its writes
    When an operator selects peak at entry-1 and rush at entry-2 before the platform is up
    Then the same preset is selected everywhere and agrees with the operators' answers
    And no instance returned to an older configuration

  Scenario: Operators select presets concurrently, and one answer is lost
    # Promise configuration. Guards against two selected presets, and against an
    # instance that returns to the older one.
    Given the configurations of all instances are watched
    When operators select peak at entry-1 and rush at entry-2 five times at once
    Then the same preset is selected everywhere and agrees with the operators' answers
    And no instance returned to an older configuration

  @known_red
  Scenario: An instance is stopped while the platform is down
    # Promise planned-stop. Guards against a shutdown that waits for the platform, and
    # against requests that fail because the list of instances is not updated.
    Given callers claim packets in swap1 through the instances that are ready
    And the platform is down
    When the owner of swap1 gets SIGTERM
    Then the instance ends by itself with exit status 0
    And no request failed or was refused, and the other instances continue to serve
