Feature: membership

  Scenario: silence makes a peer suspect, then down
    Then a peer that was heard is suspect after 3 heartbeats and down after 6

  Scenario: a pause of this entry is no silence of its peers
    Then after a pause of 60 seconds no peer is suspect

  Scenario: a newer incarnation stays
    Then generated messages never bring back an incarnation that was replaced

  Scenario: freshness handed on is never newer than the proof
    Then generated heartbeats never make an entry fresher than the log allows
