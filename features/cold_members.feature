Feature: Members that are slow after a start
  All instances together send a cold member only as many statements as the configuration
  allows.

  Scenario Outline: The parts of a cold member's rate add up to it
    # Guards against a flood when a failure domain comes back, also while instances start
    # anew as holders of the rate leases.
    Given a group that allows 8 statements each second for a cold member
    And <holders> holders of the rate leases, which restart at once <restarts> times
    Then at most <most> statements get a token within 1 s

    Examples:
      | holders | restarts | most |
      | 4       | 0        | 12   |
      | 1       | 0        | 12   |
      | 4       | 1        | 16   |

  Scenario Outline: The cold time counts from the first list that has it
    # Guards against an unchanged entry that keeps a member cold for ever, and against a
    # restarted member that counts as warm.
    Given a list in which a member is cold for <first> s
    When the list says <later> s later that it is cold for <second> s
    Then the member is cold for <left> s more

    Examples:
      | first | later | second | left |
      | 8.0   | 3     | 8.0    | 5    |
      | 8.0   | 9     | 8.0    | 0    |
      | 0.0   | 3     | 8.0    | 8    |
      | 8.0   | 3     | 0.0    | 5    |

  Scenario: The cold time of a relayed list counts from its arrival
    # Guards against a cold time that ends early, as a relayed list counts as older than
    # it is and may have entries from just before its arrival.
    Given a member that is cold for 8 s in a list that counts as 1 s old
    Then the member is cold for 8 s more

  Scenario Outline: A member that starts again under its id is cold again
    # Guards against a member that restarts before its entry expires, and whose new entry
    # names the same cold time as the earlier one.
    Given a list with an entry that is cold for 8 s and was born at <first>
    When a list 9 s later has an entry that is cold for 8 s and was born at <second>
    Then the member is cold for <left> s more

    Examples:
      | first  | second | left |
      | 1000   | 1000   | 0    |
      | 1000   | 7000   | 8    |
      | "soon" | 7000   | 8    |
      | "soon" | 1e300  | 0    |

  Scenario: A member that could not be reached counts as cold until it is listed again
    # Guards against a restarted member that is used before its new entry is read.
    Given a list in which a member is cold for 0.0 s
    When it can't be reached
    Then the member is cold for 2 s more

  Scenario Outline: A wrong cold time is ignored
    # Guards against an entry that is lost, or limited for ever, for one wrong field.
    Given an entry of a member with the cold time <value>
    Then the member is listed and cold for <seconds> s
    And it was logged <count> times in 2 lists

    Examples:
      | value  | seconds | count |
      | 4000   | 4       | 0     |
      | -1     | 0       | 1     |
      | 1e300  | 0       | 1     |
      | "soon" | 0       | 1     |
      | true   | 0       | 1     |

  Scenario: Statements for a cold primary are limited and the others refused as not run
    # Guards against statements that reach a cold member without a token.
    Given an instance whose primary is cold and may get 10 statements each second
    When 25 writes are sent one after the other
    Then at most 15 for each second and 5 more ran, and the others were refused as not run
