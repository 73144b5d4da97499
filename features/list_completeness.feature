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

  Scenario Outline: Lists after an outage of the store
    # Guards against a list that counts as complete before members can have registered.
    Given calls to the store that <calls>
    Then a list that is read at 10 s names every member that lives: <whole>

    Examples:
      | calls                       | whole |
      | first succeed at 7.4 s      | yes   |
      | first succeed at 7.6 s      | no    |
      | succeed at 1, fail, and 7.4 | yes   |
      | succeed at 1, fail, and 7.6 | no    |
      | succeed at 7.4 and 9.0      | yes   |
