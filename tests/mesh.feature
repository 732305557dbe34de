Feature: mesh

  Scenario: entries connect and lend each other slots
    Given a mesh of 3 entries over endpoint x with 8 slots
    When the mesh entry e0 lacks 8 slots
    Then the mesh entry e0 can take all 8 slots

  Scenario: peers with a wrong key or an unknown name are refused
    Given a mesh of 2 entries over endpoint x with 8 slots
    Then a peer with a different key is refused
    And a peer that is not in the settings is refused
    And bytes that are not a websocket handshake are refused
    And a message before authentication is refused
    And a peer that sends nothing during the handshake is dropped

  Scenario: a replaced entry is notified and its successor takes its place
    Given a mesh of 3 entries over endpoint x with 8 slots
    When a newer incarnation of mesh entry e0 starts beside the old one
    Then the old mesh entry e0 is superseded and has no slots
    And the peers have links to the newer incarnation only

  Scenario: an entry without access to the log gets records and proof of the tail from a peer
    Given a mesh of 3 entries over endpoint x with 8 slots
    When mesh entry e2 reads 12 records of the log
    Then mesh entry e0 holds the 12 records
    And mesh entry e0 has a proof as recent as that of e2 and none more recent

  Scenario: a new incarnation gets all records that its peers keep
    Given a mesh of 2 entries over endpoint x with 8 slots
    When mesh entry e1 reads 3000 records of the log
    And mesh entry e0 is replaced
    Then mesh entry e0 holds the 3000 records

  Scenario: records that a peer no longer keeps are reported as missing
    Given a mesh of 2 entries over endpoint x with 8 slots
    When mesh entry e1 reads 6000 records of the log
    And mesh entry e0 is replaced
    Then mesh entry e0 is notified that records before 1000 are not kept

  Scenario: a peer appends for an entry without access to the log
    Given a mesh of 2 entries over endpoint x with 8 slots
    When mesh entry e0 relays its acknowledgement of batch 5
    Then the log of mesh entry e1 gets that record
    And a relayed record about another entry ends the link

  Scenario Outline: heartbeat traffic is bounded with <entries> entries
    Given a mesh of <entries> entries over endpoint x with 8 slots
    Then each idle mesh link carries at most 60 bytes a second each way

    Examples:
      | entries |
      | 3       |
      | 7       |

  Scenario: a new entry accepts a recent outage report of a peer whose records it has
    Given a mesh of 2 entries over endpoint x with 8 slots
    Then mesh entry e0 accepts the outage report of member e1
    And it accepts none right after it was paused, but does again soon
    And it accepts none while e1 has read records that it lacks
