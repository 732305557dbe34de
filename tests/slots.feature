Feature: slots

  Scenario: more slots never mean fewer home tokens for a seat
    Then generated assignments of slot tokens are complete, even and grow with the slots

  Scenario: slots are never exceeded while entries fail and messages are lost
    Then no generated history of slot ledgers exceeds the slots of an endpoint

  Scenario: without losses idle tokens return home and demand is met
    Then generated histories of slot ledgers end with every token at home
    And after them one seat can borrow every slot

  Scenario: a new incarnation waits until requests of the old one have ended
    Given three slot ledgers over 8 slots
    When slot seat a is replaced with 2 requests running
    Then slot seat a has no home tokens until the longest deadline has passed

  Scenario: the first incarnation of a seat does not wait
    Given three slot ledgers over 8 slots
    Then a proven first incarnation has its tokens at once

  Scenario: an entry uses no tokens after a pause until a peer confirms it
    Given three slot ledgers over 8 slots
    When slot seat a pauses for 10 seconds
    Then slot seat a has tokens again only after a peer met before the pause confirms it

  Scenario: an entry that met no peer before a pause uses no tokens after it
    Given a slot ledger of a seat whose two peers have not started, with its home tokens
    When it pauses for 10 seconds
    Then it has no tokens, also when a peer that it meets now confirms it

  Scenario: after a pause of all entries the confirmations of all are needed
    Given three slot ledgers over 8 slots
    When all slot seats pause for 10 seconds
    Then slot seat a has tokens again only after both halted peers confirm it

  Scenario: a busy borrower returns tokens to their home seat
    Given three slot ledgers over 8 slots
    When slot seat a uses all 8 slots and seat b asks for its home tokens
    Then seat b gets its home tokens as requests of seat a end

  Scenario: a replaced seat gets a share of tokens while requests wait at the others
    Given three slot ledgers over 8 slots
    When slot seats b and c have waiting requests and seat a is replaced
    Then slot seat a runs requests on borrowed tokens before its home tokens are unlocked

  Scenario: demand for a changed group of endpoints replaces the earlier demand
    Given three slot ledgers over 8 slots
    When slot seat a needs tokens on x and z, then only on x, then none on x
    Then slot seat a lends its tokens again

  Scenario Outline: slots are not exceeded when <case>
    Then the slots of an endpoint are not exceeded when <case>

    Examples:
      | case                                            |
      | a lender is replaced while its borrower is busy |
      | a borrower is replaced after it reported        |
      | a borrower is replaced before it could report   |
      | a replaced borrower resumes and reports         |
      | a transfer of a replaced lender arrives late    |
      | tokens are lent and returned in one message     |
