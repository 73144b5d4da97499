Feature: Control tasks
  Two control tasks run on a mock clock and exchange messages.

  Scenario: Authority is renewed with one table read a second
    # Guards against control tasks that overload the platform with reads.
    When two control tasks run for 60 s
    Then each task has more than 2 s of authority left
    And the tasks read the platform at most 130 times
    And both tasks publish a settled view of 2 members

  Scenario: Authority expires while the tasks are partitioned
    # Guards against a snapshot with a deadline later than that of the authority.
    When two control tasks run for 10 s and are then partitioned for 3.1 s
    Then no task has authority left
    When two control tasks are partitioned for 60 s and then connected for 2 s
    Then each task has more than 2 s of authority left
