Feature: A promoted log reaches what instances have acknowledged
  With the confirmation of a fence each instance tells how far its acknowledged commits
  reach. The answer to a commit may show a later position, of commits that nobody has
  acknowledged.

  Scenario Outline: A member is promoted only with the acknowledged commits
    # Guards against commits that only a replica without an entry has confirmed.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And logs that end at "<logs>"
    And instance i3 has acknowledged "<certain>" for certain and has shown "<shown>"
    When a fenced attempt is made on a primary that <trouble>
    Then the promoted member is "<promoted>"

    Examples:
      | trouble                 | logs                | certain | shown | promoted |
      | is unreachable          | m0=10,m1=9,m2=9     | 1.10    | 1.10  | none     |
      | is unreachable          | m0=10,m1=10,m2=9    | 1.10    | 1.10  | m1       |
      | is unreachable          | m0=10,m1=9,m2=9     | 1.9     | 1.10  | none     |
      | is unreachable          | m0=9,m1=9,m2=9      | none    | none  | m1       |
      | only others reach       | m0=10,m1=9,m2=9     | 1.10    | 1.10  | m0       |
      | only others reach       | m0=10,m1=9,m2=9     | 1.9     | 1.10  | m0       |
      | only others reach       | m0=10,m1=9,m2=9     | 1.9     | 1.9   | m1       |
      | gets no write confirmed | m0=10,m1=9,m2=9     | 1.10    | 1.10  | m0       |
      | gets no write confirmed | m0=10,m1=9,m2=9     | 1.9     | 1.10  | m0       |
      | gets no write confirmed | m0=10,m1=9,m2=9     | 1.9     | 1.9   | m1       |
      | leaves                  | m0=9,m1=9,m2=9      | 1.10    | 1.10  | none     |
      | leaves                  | m0=10,m1=10,m2=10   | 1.10    | 1.10  | m1       |

  Scenario Outline: A position that nobody may have acknowledged is waited for
    # Guards against a group without a primary because an answer showed more than was
    # confirmed, and against a promotion before an unlisted replica can be listed.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And logs that end at "m0=10,m1=9,m2=9"
    And instance i3 has acknowledged "<certain>" for certain and has shown "1.10"
    When a fenced attempt is made on a primary that <trouble>
    And another one is made <seconds> s later
    Then the promoted members are "<promoted>"

    Examples:
      | trouble                 | certain | seconds | promoted |
      | is unreachable          | 1.9     | 1.0     | none     |
      | is unreachable          | 1.9     | 8.0     | none     |
      | is unreachable          | 1.9     | 10.1    | m1       |
      | is unreachable          | 1.10    | 12.0    | none     |
      | gets no write confirmed | 1.9     | 8.0     | m0       |
      | gets no write confirmed | 1.9     | 10.1    | m0,m1    |
      | gets no write confirmed | 1.10    | 12.0    | m0,m0    |

  Scenario: A later position is waited for as long as the first one
    # Guards against a wait that counts from an answer which showed less.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And logs that end at "m0=11,m1=9,m2=9"
    And instance i3 has acknowledged "1.9" for certain and has shown "1.10"
    When a fenced attempt is made on a primary that is unreachable
    And instance i3 has shown "1.11" meanwhile
    And another one is made 10.1 s later
    Then the promoted members are "none"

  Scenario: A told position is forgotten once a promotion has taken effect
    # Guards against a later promotion that waits for what a former primary has shown.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And logs that end at "m0=10,m1=10,m2=9"
    And instance i3 has acknowledged "1.9" for certain and has shown "1.10"
    When a fenced attempt is made on a primary that is unreachable
    Then the promoted members are "m1"
    And the record names no acknowledged position

  Scenario: A replica without an entry is promoted once it is listed
    # Guards against a group that waits for a replica although the list names it now.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And logs that end at "m0=10,m1=9,m2=9,m3=10"
    And instance i3 has acknowledged "1.10" for certain and has shown "1.10"
    And m3 is not listed
    When a fenced attempt is made on a primary that is unreachable
    And m3 is listed
    And another one is made 0.3 s later
    Then the promoted member is "m3"

  Scenario: What an instance has acknowledged counts after it has ended
    # Guards against a loss at the attempt after the one that an instance has told.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And logs that end at "m0=10,m1=9,m2=9"
    And instance i3 has acknowledged "1.10" for certain and has shown "1.10"
    When a fenced attempt is made on a primary that is unreachable
    And instance i3 has started again
    And another one is made 0.3 s later
    Then the promoted member is "none"

  @known_red
  Scenario: An instance that has acknowledged a commit ends before it is asked
    # Guards against the loss of a commit of which nobody who is left can tell.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=99"
    And logs that end at "m0=10,m1=9,m2=9,m3=10"
    And m3 is not listed
    And instance i3 has acknowledged "1.10" for certain and has shown "1.10"
    When a fenced attempt is made on a primary that is unreachable
    Then the promoted member is "none"

  Scenario Outline: What an instance says of its commits
    # Guards against a promotion that is refused for a position that nobody acknowledged,
    # and against one that lacks a commit that was acknowledged.
    Given an instance that holds a permit
    And it has acknowledged commits at "<positions>"
    When it announces the state "token 5 suspended" itself
    Then it has acknowledged "<certain>" for certain and has shown "<shown>"

    Examples: a + is sent before the one before it was answered
      | positions       | certain | shown |
      | none            | none    | none  |
      | 3.7             | 3.0     | 3.7   |
      | 3.7 3.8         | 3.8     | 3.8   |
      | 3.7 +3.9        | 3.0     | 3.9   |
      | 3.7 3.8 +3.9    | 3.8     | 3.9   |
      | 3.7 3.12        | 3.8     | 3.12  |
      | 3.7 4.2         | 4.0     | 4.2   |
