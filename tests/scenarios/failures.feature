Feature: Each fault alone
  The promises hold under every fault that the users name, and slices are
  served again within two seconds wherever a witness could see the loss.

  Scenario: A daemon is lost
    Given a mesh of 6 members
    When member 1 is lost
    Then every slice is served within 2 s
    And the log holds 1 failover record
    And the promises hold

  Scenario: A daemon is cut off from everything
    Given a mesh of 6 members
    When member 2 is cut off from all others and the log
    And 3 s go by
    Then every slice is still served
    When the links are healed
    Then every slice is served within 2 s
    And the promises hold

  Scenario Outline: A short pause closes nobody
    Given a mesh of 6 members
    When member 3 is paused
    And <seconds> s go by
    And member 3 goes on
    And 4 s go by
    Then no member was closed
    And every slice is still served

    Examples:
      | seconds |
      | 0.2     |
      | 0.5     |

  Scenario: A lease lapses while its holder is paused and unaware
    Given a mesh of 6 members
    When member 4 is paused
    And 3 s go by
    Then every slice is still served
    When member 4 goes on
    And lookups for 20 keys are sent to member 4
    Then every call was answered
    And the promises hold

  Scenario: The log is down for a long time
    Given a mesh of 6 members
    When the log goes down
    And 60 s go by
    And lookups for 20 keys are sent to member 2
    Then every call was answered
    And every slice is still served
    And no member was closed

  Scenario: The log is slow
    Given a mesh of 6 members
    When the log takes 0.4 s for each call
    And member 5 is lost
    Then every slice is served within 4 s
    And the promises hold

  Scenario: An answer of the log is lost after its effect
    Given a mesh of 6 members
    When the log loses its answers
    And member 6 is lost
    Then every slice is served within 2 s
    And the log holds 1 failover record

  Scenario: Operators race each other
    Given a mesh of 6 members
    When two operators publish against the same version
    Then one of the two intents is in force everywhere

  Scenario: A frozen target comes back
    Given a mesh of 6 members
    When the target of member 1 freezes
    And a credit for "batch-3" is sent to member 1
    And 8 s go by
    And the target of member 1 returns
    And the credit for "batch-3" is sent again to member 2
    Then the promises hold

  Scenario: A planned stop cuts nothing
    Given a mesh of 6 members
    When lookups for 30 keys are sent to member 2
    And member 2 is asked to stop
    And lookups for 30 keys are sent to member 2
    And lookups for 30 keys are sent to member 3
    Then member 2 has ended within 5 s
    And every call was answered
    And every slice is still served

  Scenario: A leaving target gets no new work after three seconds
    Given a mesh of 6 members
    When the operator publishes that member 1 is leaving
    And 3 s go by
    And lookups for 40 keys are sent to member 1
    Then every call was answered
    And member 1 began no work later than 3 s after that

  Scenario: A member alone serves while it reaches the log
    Given a mesh of 1 members
    Then every slice is still served
    When the log goes down
    And 3 s go by
    And lookups for 1 keys are sent to member 1
    Then the last call is refused as "no_owner"
    When the log comes back
    Then every slice is served within 2 s

  Scenario: The other one of two members is lost
    Given a mesh of 2 members
    When member 1 is lost
    Then every slice is served within 2.5 s
    And the promises hold
