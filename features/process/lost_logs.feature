Feature: Commits are not lost with the log of a replica that starts again
  The instances, members, store, promotion call and links are those of the feature of
  late promotions. A replica starts again under its id and at its address.

  Background:
    Given three instance processes, three members and callers that write
    And every instance has a permit to acknowledge commits

  Scenario: The replica that confirmed starts again without its log as the primary crashes
    # Guards against a promotion that takes an empty log for the one that confirmed.
    When only one replica receives and callers get further answers
    And this replica starts again without its log as the primary crashes
    And the primary is back after 8 s
    Then callers can write again and every acknowledged write is in the log

  Scenario: The requested replica starts again without its log before the call takes effect
    # Guards against a call that promotes a member whose log has ended since.
    Given promotion calls are executed late and their answers are lost
    When the primary crashes and its replacement is requested
    And the requested replica starts again without its log
    And the primary returns under another id
    And callers get further answers
    And the calls are executed
    Then callers can write again and no acknowledged write is lost
