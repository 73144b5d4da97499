Feature: Commits are not lost as the replication of a group changes
  The instances, members, store, promotion call and links are those of the feature of
  late promotions.

  Background:
    Given three instance processes, three members and callers that write
    And every instance has a permit to acknowledge commits

  Scenario: A group becomes synchronous while a promotion is under way
    # Guards against requests of the asynchronous group that nobody takes into account.
    Given the group is asynchronous
    And promotion calls are executed late and their answers are lost
    When i1 is cut off from the primary and from the other instances
    And a replacement is requested
    And the group is synchronous
    And a replica joins
    And callers get further answers
    And the calls are executed
    Then callers can write again and no acknowledged write is lost

  Scenario: The routes lead to another group while a promotion is under way
    # Guards against requests that are forgotten with their group.
    Given promotion calls are executed late and their answers are lost
    When i1 is cut off from the primary and from the other instances
    And a replacement is requested
    And the routes lead to another group for 2 s
    And a replica joins
    And callers get further answers
    And the calls are executed
    Then callers can write again and no acknowledged write is lost
