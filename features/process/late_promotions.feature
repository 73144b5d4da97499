Feature: Promotions that take effect late lose no acknowledged write
  The instances are processes. Members with a log each, the store and the promotion call
  are stand-ins in the test's process, as are the links between them, which can fail.

  Background:
    Given three instance processes, three members and callers that write

  @known_red
  Scenario: A crashed primary returns before the late promotion of another member
    # Guards against commits that only the returned primary and a new replica have.
    Given promotion calls are executed late and their answers are lost
    When the primary crashes and its replacement is requested
    And the primary returns under another id
    And a replica joins
    And callers get further answers
    And the calls are executed
    Then callers can write again and no acknowledged write is lost
