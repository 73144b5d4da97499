Feature: A fleet of 31 instances
  What instances share is not divided into parts smaller than one operation, and no
  instance repeats work that one can do for all.

  Scenario: A workspace inside its rate is not refused by a fleet of 31 instances
    # Guards against parts of a rate that are too small for one operation (SHORT).
    Given 31 instances and members that accept 56 connections
    When a workspace with a rate of 5/s sends 3 operations/s to changing instances
    Then none of them is refused

  Scenario: An open transaction does not occupy the connections of its instance
    # Guards against a limit of connections that is 1 for each of 31 instances (SHORT).
    Given 31 instances and members that accept 56 connections
    When a caller pauses in a transaction at an instance
    Then 4 other callers of the instance can write at the same member

  @known_red
  Scenario: The calls to the store stay few with 31 instances
    # Guards against a store that every instance polls and whose records all renew
    # (SHORT).
    Given 31 instances and members that accept 56 connections
    When the instances idle for 6 s
    Then the store gets at most 10 calls a second

  @known_red
  Scenario: Instances that start together read the store few times
    # Guards against a fleet whose instances all read as the first of their failure
    # domain until they know each other.
    Given 31 instances and members that accept 56 connections
    Then each of them has made at most 10 calls to the store
