Feature: Transfer of the configuration
  A change is in force at every instance in time, however large the configuration is and
  whichever link, reader or path to the store is slow or lost.


  Scenario: A configuration whose transfer takes longer than a timeout arrives
    # Guards against reads that are given up in transfer and start over (incident CONFIG).
    Given 1 instances in one failure domain, with links of 200 kB/s to the store
    When the configuration grows by 2000 routes
    Then a new route is served by instance 1 within 8 s


  Scenario: An instance that starts gets a configuration whose transfer takes long
    # Guards against a restarted instance that serves nobody for the rest of the day.
    Given 1 instances in one failure domain, with links of 200 kB/s to the store
    When instance 1 is killed, the configuration grows by 2000 routes and it starts again
    Then a new route is served by instance 1 within 8 s


  Scenario: A message about a newer version does not end the transfer that brings it
    # Guards against a second transfer beside the first one on a link that is full.
    Given 2 instances in one failure domain, with links of 9000, 200 kB/s to the store
    When the configuration grows by 1000 routes
    Then a new route is served by instance 2 within 8 s
    And the store has sent it at most 1 times the configuration


  Scenario: The store sends a change to few instances of a failure domain
    # Guards against transfers to all instances, which no link carries in a large fleet.
    Given 6 instances in one failure domain, with links of 9000 kB/s to the store
    When the configuration grows by 1000 routes
    Then a new route is served by all instances within 3 s
    And the store has sent them at most 3 times the configuration


  Scenario: An instance that the store turns away follows its neighbours
    # Guards against a withdrawn key that works for 15 s where the store is out of reach.
    Given 2 instances in one failure domain, with links of 9000 kB/s to the store
    When the store refuses instance 2 and a key is withdrawn
    Then instance 2 refuses the key within 3 s


  Scenario: An instance alone in its failure domain is turned away by the store
    # Guards against an outdated instance without neighbours in its failure domain.
    Given 2 instances in two failure domains, with links of 9000 kB/s to the store
    When the store refuses instance 2 and a key is withdrawn
    Then instance 2 refuses the key within 3 s

  Scenario: A change is in force after the loss of all instances that read the store
    # Guards against instances that wait for neighbours that are gone.
    Given 5 instances in one failure domain, with links of 9000 kB/s to the store
    When instances 1, 2, 3 are killed and a key is withdrawn
    Then instance 4 refuses the key within 3 s
    And instance 5 refuses the key within 3 s
