const find = document.getElementById('find');
const rows = Array.from(document.querySelectorAll('#asked tbody tr'));
find.addEventListener('input', () => {
  const wanted = find.value.trim().toLowerCase();
  let shown = 0;
  for (const row of rows) {
    row.hidden = !row.cells[1].textContent.includes(wanted);
    shown += !row.hidden;
  }
  document.getElementById('found').textContent = wanted ? `${shown} of ${rows.length}` : '';
});
