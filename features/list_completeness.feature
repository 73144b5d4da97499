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

  Scenario Outline: A list that may lack a member of an asynchronous group
    # Guards against a wait for a replica in a group whose commits need not be on any.
    Given a group whose attempts fence no acknowledgements
    And logs that end at "m0=10,m1=10,m2=9"
    And a list that may lack a member
    When an attempt is made on a primary that <trouble>
    Then the promoted member is "m1"

    Examples:
      | trouble                 |
      | is unreachable          |
      | only others reach       |
      | gets no write confirmed |
      | leaves, and is silent   |

  Scenario Outline: Lists after a gap or the start
    # Guards against a list that counts as complete before members can have registered,
    # and against a slow store that keeps a list from ever being complete.
    Given lists that are requested and arrive at "<times>"
    Then the last list names every member that lives: <whole>

    Examples: lists that arrive at once
      | times                                      | whole |
      | 7.5                                        | no    |
      | 7.5 8.7 9.9                                | no    |
      | 7.4 8.6 9.8 10.0                           | yes   |
      | 7.6 8.8 9.9 10.0                           | no    |
      | 1.0 2.0 3.0 4.0 5.4                        | yes   |
      | 1.0 2.0 3.0 4.0 5.6                        | no    |
      | 1.0 2.0 3.0 4.0 6.0 7.0 8.0 8.4            | no    |
      | 1.0 2.0 3.0 4.0 6.0 7.0 8.0 8.6            | yes   |
      | 1.0 2.0 3.0 4.0 6.0 7.0 9.0 9.5            | no    |
      | 1.0 2.0 3.0 4.0 6.0 7.0 9.0 10.0 11.0 11.6 | yes   |

    Examples: lists that arrive later
      | times                                        | whole |
      | 1.0-1.6 2.6-3.2 4.2-4.8 5.8-6.4              | yes   |
      | 1.0-1.6 2.6-3.2 4.0                          | no    |
      | 1.0-1.6 2.6-3.2 4.2                          | yes   |
      | 1.0 2.0 3.0 4.0 5.6-6.2 7.0 8.0 8.6          | no    |
      | 1.0 2.0 3.0 4.0 5.6-6.2 7.0 8.0 8.8          | yes   |
      | 1.0 2.0 3.0 4.0 3.2-4.1 5.5                  | yes   |

  Scenario Outline: An instance that hears lists of another one
    # Guards against attempts that are refused because a list of another instance counts
    # as older than it is, and against a list that arrives long after it was read.
    Given an instance that hears lists of another one, read at "<heard>"
    When it reads a list itself at <own> s
    Then its list counts as complete: <whole>

    Examples: a + stands for the seconds by which a list arrives late
      | heard                      | own | whole |
      | 1.0 2.0 3.0 4.0 5.0        | 5.9 | yes   |
      | 1.0 2.0 3.0 4.0 5.0        | 6.4 | yes   |
      | 1.0 2.0 3.0 4.0 5.0        | 6.6 | no    |
      | 1.0 2.0 3.0 4.0 4.1+2.4    | 6.7 | no    |

    Examples: the clock of the sender is 10 ms ahead
      | heard                                             | own | whole |
      | 1.0+-0.01 2.0+-0.01 3.0+-0.01 4.0+-0.01 5.0+-0.01 | 5.9 | yes   |
      | 1.0+-0.01 2.0+-0.01 3.0+-0.01 4.0+-0.01 5.0+-0.01 | 6.6 | no    |
