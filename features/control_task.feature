Feature: Control tasks
  Two control tasks run on a mock clock and exchange messages.

  Scenario: Authority is renewed with one table read a second
    # Guards against control work that overloads the platform.
    When two control tasks run for 60 s
    Then each task has more than 2 s of authority left
    And they read the platform at most 130 times
    And both know a settled view of 2 members

  Scenario: Authority lapses while the tasks are cut off
    # Guards against a subscriber that is told of authority which has lapsed.
    When two control tasks run for 10 s and are then cut off for 3.1 s
    Then no task has authority left
    When two control tasks are cut off for 60 s and then joined for 2 s
    Then each task has more than 2 s of authority left
