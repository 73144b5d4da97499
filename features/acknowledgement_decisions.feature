Feature: Decisions about acknowledgements
  A commit is acknowledged only if no promotion that may still take effect can lose it.

  Scenario Outline: What a commit has to wait for
    # Guards against an acknowledged commit that a promotion loses, and against queries
    # and delays for commits that no promotion can lose.
    Given a group with the members a, b and c, of which a answered a commit
    And the state "<state>" that changed <changed> the statement was sent
    When the commit is decided on <permit> a permit
    Then the decision is "<decision>"

    Examples:
      | state                      | changed | permit  | decision    |
      | no request                 | before  | with    | acknowledge |
      | no request                 | before  | without | verify b,c  |
      | suspended                  | before  | with    | wait        |
      | suspended                  | before  | without | wait        |
      | suspended, b outstanding   | after   | without | wait        |
      | b outstanding              | before  | with    | verify b    |
      | a outstanding              | before  | with    | acknowledge |
      | a and b outstanding        | before  | with    | verify b    |
      | gone outstanding           | before  | with    | verify gone |
      | gone outstanding           | before  | without | verify b,c,gone |
      | b was promoted             | before  | with    | acknowledge |
      | b was promoted             | after   | with    | verify b,c  |
      | a was promoted             | after   | with    | verify a    |
      | a and b outstanding, a last | after  | with    | verify a,b  |

  Scenario Outline: Which state is the newer one
    # Guards against an outstanding request or a suspension that an older state hides,
    # also one that a restored store shows again.
    Given a known state of token <token>, epoch <epoch> and version <version> with b outstanding
    When a state of token <seen_token>, epoch <seen_epoch> and version <seen_version> with <seen> outstanding is seen
    Then the <which> state counts with <outstanding> outstanding

    Examples:
      | token | epoch | version | seen_token | seen_epoch | seen_version | seen | which | outstanding |
      | 5     | 1     | 9       | 6          | 1          | 10           | none | seen  | none        |
      | 5     | 1     | 9       | 5          | 1          | 10           | c    | seen  | c           |
      | 5     | 1     | 9       | 5          | 1          | 8            | c    | known | b           |
      | 5     | 1     | 9       | 4          | 1          | 10           | c    | known | b           |
      | 5     | 1     | 9       | 4          | 2          | 10           | c    | known | b           |
      | 5     | 1     | 9       | 5          | 2          | 3            | c    | seen  | b,c         |
      | 5     | 1     | 9       | 5          | 2          | 3            | none | seen  | b           |
      | 5     | 1     | 9       | 2000       | 2          | 3            | none | seen  | b           |
      | 5     | 2     | 9       | 5          | 1          | 20           | c    | known | b           |

  Scenario Outline: A suspension ends with the lock
    # Guards against a group that acknowledges nothing after the holder of its lock has
    # died, and against a suspension that an older read of the same record restores.
    Given a known state that is <known>
    When the same record is seen as <seen>
    Then the state is <result>

    Examples:
      | known         | seen          | result        |
      | suspended     | not suspended | not suspended |
      | not suspended | suspended     | not suspended |
      | suspended     | suspended     | suspended     |

  Scenario Outline: A suspension of an epoch that has ended
    # Guards against a group that acknowledges nothing because a restored store has
    # forgotten the lock whose holder suspended it.
    Given a known state of epoch <epoch> that is suspended
    When all locks of the epochs before 2 have expired
    Then the state is <result>

    Examples:
      | epoch | result        |
      | 1     | not suspended |
      | 2     | suspended     |

  Scenario Outline: When an instance holds a permit
    # Guards against an acknowledgement by an instance that a promotion did not ask or
    # that has not heard of it.
    Given an instance whose registrations were acknowledged at "<registered>"
    And evidence of epoch <epoch> first seen at 0 s and as of <as_of> s
    Then at <now> s it holds a permit: <permit>

    Examples:
      | epoch | registered    | as_of | now   | permit |
      | 2     | 1             | 10    | 10    | yes    |
      | 2     | 1             | 10    | 12.4  | yes    |
      | 2     | 1             | 10    | 12.5  | no     |
      | 2     | never         | 10    | 11    | no     |
      | 2     | 11            | 10    | 11    | no     |
      | 2     | 11            | 12    | 12    | yes    |
      | 2     | 1             | 140   | 140.5 | yes    |
      | 2     | 1             | 140   | 141   | no     |
      | 2     | 1,100         | 99    | 101   | yes    |
      | 2     | 1,100         | 239   | 239.5 | yes    |
      | 2     | 1,200         | 199   | 200   | no     |
      | 2     | 1,200         | 201   | 201   | yes    |
      | 2     | 1             | 5     | 5.9   | no     |
      | 2     | 1             | 5     | 6     | yes    |
      | 1     | 1             | 5     | 7.5   | no     |

  Scenario Outline: First evidence of an epoch that has lasted for a time
    # Guards against an instance that verifies all commits for 6 s after its start, and
    # against a permit while a lock of the epoch before may be held.
    Given an instance whose registrations were acknowledged at "10"
    When the first evidence as of 20 s, of an epoch that is <age> s old, is seen at 20.1 s
    Then at 20.2 s it holds a permit: <permit>

    Examples:
      | age | permit |
      | 0   | no     |
      | 5.8 | no     |
      | 6   | yes    |
      | 900 | yes    |

  Scenario Outline: A restored store may have forgotten a registration
    # Guards against a promotion that does not ask an instance, because the copy of the
    # store is older than its registration.
    Given an instance that registered at <since> s and again at <renewed> s
    And a store that was restored at 100 s, and evidence as of <as_of> s
    Then at <as_of> s it holds a permit: <permit>

    Examples:
      | since | renewed | as_of | permit |
      | 65    | 99      | 110   | yes    |
      | 75    | 99      | 110   | no     |
      | 99    | 99      | 110   | no     |
      | 99    | 120     | 125   | yes    |

  Scenario Outline: Evidence of several epochs
    # Guards against a permit while a lock of the epoch before the restore is held, and
    # against one from a late answer of that epoch.
    Given an instance whose registrations were acknowledged at "1"
    And evidence of epoch 1 first seen at 0 s and as of 20 s
    When evidence of epoch <epoch> as of <as_of> s is seen at 21 s
    Then at <now> s it holds a permit: <permit>

    Examples:
      | epoch | as_of | now  | permit |
      | 1     | 20.9  | 23   | yes    |
      | 2     | 20.9  | 21   | no     |
      | 2     | 26    | 26.9 | no     |
      | 2     | 26    | 27   | yes    |
      | 0     | 22    | 23   | no     |
      | 1     | 19    | 22.4 | yes    |

  Scenario Outline: Whether a member has received a commit
    # Guards against a member whose log has branched off before the commit, and against
    # a second primary that counts as a replica.
    Given a commit at 3.7
    Then a <role> whose log ends at <end> has received it: <received>

    Examples:
      | role    | end  | received |
      | replica | 3.7  | yes      |
      | replica | 3.8  | yes      |
      | replica | 3.6  | no       |
      | replica | 4.9  | no       |
      | replica | 2.9  | no       |
      | primary | 3.8  | no       |

  Scenario Outline: Whether the member that answered still leads
    # Guards against a commit that was answered before another member led, and is
    # acknowledged because the member that answered leads again.
    Given a commit at 3.7
    Then a primary of term <term> whose log ends at <end> still leads: <leads>

    Examples:
      | term | end | leads |
      | 3    | 3.7 | yes   |
      | 3    | 3.9 | yes   |
      | 5    | 5.9 | no    |
      | 5    | 3.7 | no    |
      | 3    | 3.6 | no    |

  Scenario Outline: Acknowledged commits that a promoted log lacks
    # Guards against a lost commit that nobody notices, and against a report of commits
    # that were acknowledged by the promoted member or before an earlier promotion.
    Given acknowledged commits at "<acknowledged>"
    When b is <promoted> with a log that ended at <end>
    Then the missing commit is <missing>

    Examples:
      | acknowledged | promoted  | end  | missing |
      | 3.7          | promoted  | 3.7  | none    |
      | 3.7,3.9      | promoted  | 3.8  | 3.9     |
      | 3.9,3.7      | promoted  | 3.8  | 3.9     |
      | 3.9          | requested | 3.8  | none    |
      | 3.7,4.20     | promoted  | 3.8  | none    |
      | 2.30,3.7     | promoted  | 3.8  | none    |
      | 3.9          | promoted  | none | none    |
