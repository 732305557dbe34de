Feature: mesh

  Scenario: entries meet and exchange slots
    Given a mesh of 3 entries over endpoint x with 8 slots
    When the mesh entry e0 lacks 8 slots
    Then the mesh entry e0 can take all 8 slots

  Scenario: peers without the key or with a foreign name are refused
    Given a mesh of 2 entries over endpoint x with 8 slots
    Then a peer with another key is refused
    And a peer that is not in the settings is refused
    And bytes that are no websocket are refused
    And a message before authentication is refused
    And a peer that is silent in the handshake is dropped

  Scenario: a replaced entry is told and its successor takes its place
    Given a mesh of 3 entries over endpoint x with 8 slots
    When a newer incarnation of mesh entry e0 starts beside the old one
    Then the old mesh entry e0 is superseded and has no slots
    And the peers know the newer incarnation only

  Scenario: an entry cut from the log gets records and freshness from a peer
    Given a mesh of 3 entries over endpoint x with 8 slots
    When mesh entry e2 reads 12 records of the log
    Then mesh entry e0 holds the 12 records
    And mesh entry e0 is as fresh as e2 was and no fresher

  Scenario: a newcomer gets all that its peers keep
    Given a mesh of 2 entries over endpoint x with 8 slots
    When mesh entry e1 reads 3000 records of the log
    And mesh entry e0 is replaced
    Then mesh entry e0 holds the 3000 records

  Scenario: records that are no longer kept are said to be so
    Given a mesh of 2 entries over endpoint x with 8 slots
    When mesh entry e1 reads 6000 records of the log
    And mesh entry e0 is replaced
    Then mesh entry e0 is told that records before 1000 are not kept

  Scenario: a peer appends for an entry that is cut from the log
    Given a mesh of 2 entries over endpoint x with 8 slots
    When mesh entry e0 relays its acknowledgement of batch 5
    Then the log of mesh entry e1 gets that record
    And a relayed record about another entry ends the link

  Scenario Outline: heartbeats are bounded at <entries> entries
    Given a mesh of <entries> entries over endpoint x with 8 slots
    Then each idle mesh link carries at most 60 bytes a second each way

    Examples:
      | entries |
      | 3       |
      | 7       |

  Scenario: a newcomer trusts the recent word of a peer whose records it has
    Given a mesh of 2 entries over endpoint x with 8 slots
    Then mesh entry e0 knows of an outage from the member e1
    And it knows of none right after it was paused, but soon again
    And it knows of none while e1 has read records that it lacks
