//! SQL statements and their table groups.

use eideryard_sql_tables::table_group;

#[test]
fn the_table_group_is_the_number_of_the_schema_that_is_read_or_written() {
    let cases = [
        ("SELECT * FROM sales_17.orders", Some(17)),
        ("select a.x from sales_17.orders a where a.x > 3", Some(17)),
        (
            "INSERT INTO sales_4.orders SELECT * FROM staging.batch_9",
            Some(4),
        ),
        (
            "INSERT INTO sales_4.orders SELECT * FROM staging.sales_8",
            Some(4),
        ),
        ("COPY cold_3.readings FROM 's3://sales_9.orders'", Some(3)),
        ("UPDATE \"sales_5\".\"orders\" SET x = 1", Some(5)),
        ("UPDATE `sales_5`.orders SET x = 1", Some(5)),
        ("DELETE FROM sales_6 . orders", Some(6)),
        ("SELECT 'sales_1.orders', x FROM sales_2.orders", Some(2)),
        ("SELECT 'it''s sales_1.orders' FROM sales_2.orders", Some(2)),
        (
            "SELECT $$ FROM sales_1.orders $$ FROM sales_2.orders",
            Some(2),
        ),
        (
            "SELECT $q$ FROM sales_1.orders $q$ FROM sales_2.orders",
            Some(2),
        ),
        (
            "-- FROM sales_1.orders\nSELECT * FROM sales_2.orders",
            Some(2),
        ),
        (
            "/* FROM sales_1.a /* sales_3.b */ sales_4.c */ SELECT * FROM sales_2.orders",
            Some(2),
        ),
        ("SELECT t_1.x FROM sales_2.orders AS t_1", Some(2)),
        ("SELECT * FROM main.sales_8.orders", Some(8)),
        (
            "SELECT * FROM (SELECT * FROM sales_9.orders) o JOIN sales_10.lines l ON o.id = l.id",
            Some(9),
        ),
        ("SELECT sales_11.orders.x FROM orders", Some(11)),
        ("SELECT 1.5 FROM big_fleet_12.trucks", Some(12)),
        ("SELECT * FROM staging.batch_9", None),
        ("SELECT * FROM orders_17", None),
        ("SELECT * FROM sales_.orders", None),
        ("SELECT * FROM _7.orders", None),
        ("SELECT 1", None),
        ("", None),
        ("SELECT 'unclosed sales_1.orders", None),
        ("SELECT * FROM sales_99999999999999999999999.orders", None),
    ];
    for (statement, group) in cases {
        assert_eq!(table_group(statement.as_bytes()), group, "{statement}");
    }
}

#[test]
fn random_statements_never_cause_a_panic() {
    let mut rng = fastrand::Rng::with_seed(11);
    for _ in 0..20_000 {
        let parts = [
            "sales_1", ".", "from ", "'", "\"", "/*", "*/", "--", "$$", "$a$", "\n", "\u{e9}", ",",
            " ", "7",
        ];
        let text: String = (0..rng.usize(..12))
            .map(|_| rng.choice(parts).unwrap())
            .collect();
        let mut bytes = text.into_bytes();
        if !bytes.is_empty() {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        table_group(&bytes);
    }
}
