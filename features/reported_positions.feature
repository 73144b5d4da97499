Feature: Acknowledged positions are reported through the store
  An instance that no announcement reaches can't say in a confirmation what it has
  acknowledged. If it reads the suspended state from the store, it writes its positions
  there, and a fence that is not complete reads them.

  Scenario Outline: An instance reports what it has acknowledged
    # Guards against the loss of commits that only an unlisted replica has confirmed, when
    # the links between instances are cut.
    Given an instance that holds a permit
    And it has acknowledged commits at "<positions>"
    When the store is read with the state "<first>"
    And the store is read with the state "<next>"
    Then it has reported "<reported>" with <calls> calls to the store

    Examples:
      | positions    | first             | next                | reported                      | calls |
      | 3.7 3.8 +3.9 | token 5 suspended | token 5 suspended   | token 5 certain 3.8 shown 3.9 | 1     |
      | 3.7 3.8      | token 5 suspended | token 5             | token 5 certain 3.8 shown 3.8 | 1     |
      | 3.7 3.8      | token 5 suspended | token 6 suspended   | token 6 certain 3.8 shown 3.8 | 2     |
      | 3.7 3.8      | token 5           | token 5 requested b | nothing                       | 0     |
      | none         | token 5 suspended | token 6 suspended   | nothing                       | 0     |

  Scenario: An instance that has confirmed an announcement reports nothing
    # Guards against calls of every instance to the store at each promotion.
    Given an instance that holds a permit
    And it has acknowledged commits at "3.7 3.8"
    When the state "token 5 suspended" is announced
    And the store is read with the state "token 5 suspended"
    Then it has reported "nothing" with 0 calls to the store

  Scenario Outline: An instance reports the positions of groups that fence acknowledgements
    # Guards against calls to the store for groups whose promotions wait for no fence.
    Given an instance that holds a permit
    And it has acknowledged commits at "3.7 3.8"
    And the configuration says that the group has <replicas> synchronous replicas
    When the store is read with the state "token 5 suspended"
    Then it has reported "<reported>" with <calls> calls to the store

    Examples:
      | replicas | reported                      | calls |
      | 0        | nothing                       | 0     |
      | 1        | token 5 certain 3.8 shown 3.8 | 1     |

  Scenario: A report that the store refuses ends nothing else
    # Guards against an instance that acknowledges nothing after an outage of the store.
    Given an instance that holds a permit
    And it has acknowledged commits at "3.7 3.8"
    And the store refuses writes
    When the log lines are collected
    And the store is read with the state "token 5 suspended"
    And the store is read with the state "token 5"
    And a answers a commit at 3.9
    Then the log says that the positions were not reported
    And the commit is acknowledged by "permit:5:0ms"

  Scenario Outline: A fence counts the reports of instances that it has not reached
    # Guards against the loss of commits that an instance without a link acknowledged, and
    # against a group without a primary because of a report that says nothing of it.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=<lost>"
    And logs that end at "m0=10,m1=9,m2=9"
    And the store has the reports "<reports>"
    When a fenced attempt is made on a primary that is unreachable
    Then the promoted member is "<promoted>"
    And reports were read <reads> times

    Examples: the attempt has token 2, and the lost announcements are those to i3
      | lost | reports                                                      | promoted | reads |
      | 99   | g i3 token 2 at 1.10                                         | none     | 1     |
      | 99   | g i3 token 3 at 1.10                                         | none     | 1     |
      | 99   | g i3 token 2 at 1.9                                          | m1       | 1     |
      | 99   | g i3 token 1 at 1.10                                         | m1       | 1     |
      | 99   | g-b i3 token 2 at 1.10                                       | m1       | 1     |
      | 99   | g i3 unreadable                                              | m1       | 1     |
      | 99   | g i2 unreadable, g-b i3 token 2 at 1.9, g i3 token 2 at 1.10 | none     | 1     |
      | 99   | none                                                         | m1       | 1     |
      | 0    | g i3 token 2 at 1.10                                         | m1       | 0     |

  Scenario: Reports count if the list of instances can't be read
    # Guards against the same loss when no announcement is sent.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=0"
    And logs that end at "m0=10,m1=9,m2=9"
    And the store has the reports "g i3 token 2 at 1.10"
    And a store whose list of "instance-" is refused
    When a fenced attempt is made on a primary that is unreachable
    Then the promoted member is "none"

  Scenario Outline: Reports that can't be read delay the comparison by a bound
    # Guards against a promotion that a slow store holds up.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=99"
    And a store whose list of "acknowledged-" is <trouble>
    When a fenced attempt is made on a primary that is unreachable
    Then the logs are compared after <seconds> s and "m1" is promoted

    Examples:
      | trouble        | seconds |
      | refused        | 2.5     |
      | never answered | 3.0     |

  Scenario: The lock expires while reports are read
    # Guards against a comparison of logs while others may acknowledge again.
    Given a group whose attempts fence acknowledgements at "i1=0,i2=0,i3=99"
    And a store whose list of "acknowledged-" is never answered
    And the lock is held for 0.3 s before it is extended
    When a fenced attempt is made on a primary that is unreachable
    Then no call was made and the outcome is "acknowledgements were not fenced"
