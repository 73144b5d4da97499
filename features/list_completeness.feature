Feature: A list of members from just after an outage of the store
  A member that could not register while the store was away does so within about two
  seconds of its return.

  Scenario Outline: A list that may lack a member
    # Guards against a promotion by a list from just after an outage of the store.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And logs that end at "m0=10,m1=9,m2=9"
    And a list that may lack a member
    When a fenced attempt is made on a primary that <trouble>
    Then the promoted member is "<promoted>"

    Examples:
      | trouble                 | promoted |
      | is unreachable          | none     |
      | only others reach       | m0       |
      | gets no write confirmed | m0       |
      | leaves, and is silent   | none     |

  Scenario Outline: Lists after a gap or the start
    # Guards against a list that counts as complete before members can have registered,
    # and against single failed calls that keep a list from ever being complete.
    Given lists and calls to the store "<calls>"
    Then the last list names every member that lives: <whole>

    Examples:
      | calls                                      | whole |
      | 7.5                                        | no    |
      | 7.5 8.7 9.9                                | no    |
      | 7.4 8.6 9.8 10.0                           | yes   |
      | 7.6 8.8 9.9 10.0                           | no    |
      | 7.4 fail 8.6 fail 9.8 10.0                 | yes   |
      | 1.0 2.0 3.0 4.0 5.4                        | yes   |
      | 1.0 2.0 3.0 4.0 fail 5.4                   | yes   |
      | 1.0 2.0 3.0 4.0 5.6                        | no    |
      | 1.0 2.0 3.0 4.0 fail 5.6                   | no    |
      | 1.0 2.0 3.0 4.0 6.0 7.0 8.0 8.4            | no    |
      | 1.0 2.0 3.0 4.0 6.0 7.0 8.0 8.6            | yes   |
      | 1.0 2.0 3.0 4.0 6.0 7.0 9.0 9.5            | no    |
      | 1.0 2.0 3.0 4.0 6.0 7.0 9.0 10.0 11.0 11.6 | yes   |
