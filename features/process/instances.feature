@fleet
Feature: Entry instances crash, freeze and join
  Runs real processes: four entry instances, two databases of three members each, and
  one platform. A fifth instance joins and leaves.

  Scenario: The owner of a database is killed in the middle of a transaction
    # Promise unmixed. Guards against statements of an unfinished transaction that
    # remain, or that reach the log as part of another transaction.
    Given transactions A through entry-1 and B through entry-2, interleaved in swap1
    When A commits, and the owner of swap1 is killed while B is open
    Then a statement or commit of B through another instance is refused
    And the log of swap1 contains exactly the statements of A, in one entry

  Scenario: The instance that forwards a transaction is killed, not its owner
    # Promise unmixed. Guards against a transaction that is bound to the connection
    # of its caller's instance, and against one that continues as another one.
    Given transactions A and B through two instances other than the owner of swap1
    When the instance that forwards A is killed and A continues through another one
    Then the log of swap1 contains the statements of A and of B in one entry each

  Scenario: An instance is frozen for 8 s and resumes
    # Promises withdrawn-key, not-run-is-true, at-most-once. Guards against an
    # instance that acts on outdated state after its pause, on requests that waited in
    # its sockets.
    When entry-2 is frozen for 8 s while a key is withdrawn and requests wait in it
    Then no request with the withdrawn key was served or is in any log
    And each claim that waited was served once, or refused and not run
    And entry-2 serves again

  Scenario: A workspace exceeds its rate while instances freeze, crash and join
    # Promise rate-and-burst. Guards against shares that count twice while the view
    # changes, and against a resumed instance that spends its old share.
    Given a workspace with a rate of 40 a second and a burst of 20
    When it sends eight times its rate while one instance freezes, one crashes and one joins
    Then no time window contains more admissions than the burst and the rate allow
    And the workspace was served all the time
