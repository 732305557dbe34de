Feature: failure detection and freshness between peers

  Scenario: a peer that sends nothing becomes suspect, then down
    Then a live peer without messages is suspect after 3 heartbeats and down after 6

  Scenario: a pause of this process does not count as silence of its peers
    Then after a pause of 60 seconds no peer is suspect

  Scenario: an older incarnation never replaces a newer one
    Then generated messages never restore an incarnation that was replaced

  Scenario: freshness received from a peer is never newer than the peer's proof
    Then generated heartbeats never make an entry fresher than the log allows
