@fleet
Feature: Keys, databases and instances are taken out of use under load
  Runs real processes: four entry instances, two databases of three members each, and
  one platform.

  Scenario: A key is withdrawn while its requests run and wait
    # Promises withdrawn-key, not-run-is-true. Guards against a key that remains valid
    # on open connections and for requests that were admitted before.
    Given callers with a key of their own keep two slow connections to each instance busy
    When an operator withdraws the key at entry-2
    Then every instance refuses the key within seconds
    And no member runs a request with the key from then on
    And no claim refused as not run is in any log of swap1
    And another key of the workspace works at every instance

  Scenario: A database leaves under load
    # Promise leaving-database. Guards against an instance or an owner that keeps
    # sending new work to a database that is leaving.
    Given callers claim packets in swap1 and swap2 through all instances
    When an operator marks swap2 as leaving
    Then every instance refuses claims in swap2 within seconds
    And the members of swap2 get no new work while swap1 is served
    And no claim refused as not run is in any log of swap1 and swap2

  Scenario: An instance that owns a database is stopped under load
    # Promise planned-stop. Guards against requests that fail because of a graceful
    # shutdown, and against a transaction that does not survive it.
    Given callers follow the platform's list of instances
    And a transaction is open at the owner of swap1
    When the owner of swap1 gets SIGTERM and the transaction continues
    Then the instance ends by itself with exit status 0
    And the transaction commits
    And no request failed or was refused, and the other instances continue to serve

  Scenario: A transaction outlasts the time for which its stopping owner accepts callers
    # Promise planned-stop. Guards against an owner that exits between two statements of
    # a transaction that a caller of another instance has open there.
    Given callers follow the platform's list of instances
    And a transaction is open at the owner of swap1
    When the owner of swap1 gets SIGTERM and the transaction continues for 7 s
    Then the transaction commits
    And the instance ends by itself with exit status 0
